package org.sequoiahub.core.runner;

import org.sequoiahub.core.verdict.Verdict.NotRun;

/** The result of offering a request to a runner. */
public sealed interface Admission {

  /**
   * The request was queued.
   *
   * @param expectedWaitMillis the estimated time until it starts (ms)
   * @param resident whether its adapter version is loaded
   */
  record Admitted(long expectedWaitMillis, boolean resident) implements Admission {}

  /** The request was rejected and has not run. */
  record Rejected(NotRun verdict) implements Admission {}
}
