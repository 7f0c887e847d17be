package org.sequoiahub.core.runner;

import org.sequoiahub.core.verdict.Verdict.NotRun;

/** Whether an offered request was taken into the queue. */
public sealed interface Admission {

  /**
   * It waits or starts.
   *
   * @param expectedWaitMillis the estimated time until it starts
   * @param resident whether its adapter version is loaded
   */
  record Admitted(long expectedWaitMillis, boolean resident) implements Admission {}

  /** It was refused and has not run. */
  record Rejected(NotRun verdict) implements Admission {}
}
