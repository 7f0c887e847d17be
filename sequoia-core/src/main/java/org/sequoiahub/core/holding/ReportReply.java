package org.sequoiahub.core.holding;

/** The outcome of requesting a runner's report. */
public sealed interface ReportReply {

  /** The runner's report. */
  record Received(RunnerReport report) implements ReportReply {}

  /**
   * No report was received, or it is not valid for the runner.
   *
   * @param reason the cause, for the log
   */
  record Missing(String reason) implements ReportReply {}
}
