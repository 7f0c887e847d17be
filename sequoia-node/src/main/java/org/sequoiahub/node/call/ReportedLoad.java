package org.sequoiahub.node.call;

/** Tells whether the runners of a service report their load with a pace. */
@FunctionalInterface
public interface ReportedLoad {

  /** Returns whether the runners of a service report their load with a pace. */
  boolean isReported(String service);
}
