package org.sequoiahub.core.route;

import java.util.function.Function;
import org.sequoiahub.core.record.AdapterVersion;
import org.sequoiahub.core.record.PlatformRecord.Adapter;
import org.sequoiahub.core.verdict.Verdict.NotRun;

/** What a caller's model name stands for. */
public sealed interface Resolution {

  /**
   * One exact adapter version. It travels with the request and is never resolved again.
   *
   * @param adapter the exact version
   * @param record the record it was resolved against
   * @param revision that record's revision
   */
  record Resolved(AdapterVersion adapter, Adapter record, long revision) implements Resolution {}

  /** No such adapter or version. */
  record Unknown(NotRun verdict) implements Resolution {}

  /** Applies the function that matches this result. */
  default <T> T fold(Function<Resolved, T> resolved, Function<Unknown, T> unknown) {
    return this instanceof Resolved r ? resolved.apply(r) : unknown.apply((Unknown) this);
  }
}
