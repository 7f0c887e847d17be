package org.sequoiahub.core.holding;

/** What came of asking a runner for its report. */
public sealed interface ReportReply {

  /** The runner's report. */
  record Given(RunnerReport report) implements ReportReply {}

  /**
   * No report that may be believed.
   *
   * @param why what went wrong, for the log
   */
  record Missing(String why) implements ReportReply {}
}
