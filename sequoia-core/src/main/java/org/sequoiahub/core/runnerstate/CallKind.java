package org.sequoiahub.core.runnerstate;

/** The kinds of calls to a runner, all of which count towards its limit. */
public enum CallKind {
  /** A caller's request, sent for the first time or again. */
  REQUEST,
  /** An order of the runner's holder. */
  ORDER,
  /** The reading of the runner's report by its holder. */
  REPORT,
  /** A question whether the runner's process still runs. */
  PROBE
}
