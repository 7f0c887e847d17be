package org.sequoiahub.core.holding;

/** What came of asking a runner for its report. */
public sealed interface ReportReply {

  /** The runner's report. */
  record Received(RunnerReport report) implements ReportReply {}

  /**
   * No report that may be believed.
   *
   * @param reason what went wrong, for the log
   */
  record Missing(String reason) implements ReportReply {}
}
