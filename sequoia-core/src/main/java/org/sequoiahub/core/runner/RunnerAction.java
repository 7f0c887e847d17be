package org.sequoiahub.core.runner;

import org.sequoiahub.core.record.AdapterVersion;
import org.sequoiahub.core.verdict.Verdict.NotRun;

/** Something that a decision wants done. */
public sealed interface RunnerAction {

  /** Hand the request to the engine. */
  record Start(RunnerRequest request) implements RunnerAction {}

  /** Give the request its final answer now: it was not handed to the engine. */
  record Reject(RunnerRequest request, NotRun verdict) implements RunnerAction {}

  /** Ask the engine to stop a running request. */
  record CancelRunning(RunnerRequest request) implements RunnerAction {}

  /** Ask the load-turn keeper for a turn. */
  record RequestLoadTurn(AdapterVersion adapter, int waiting, boolean interactive)
      implements RunnerAction {}

  /** Give a turn, asked for or granted, back. */
  record ReleaseLoadTurn(AdapterVersion adapter) implements RunnerAction {}

  /** Order the engine to load an adapter version. */
  record Load(AdapterVersion adapter) implements RunnerAction {}

  /** Order the engine to evict an adapter version. */
  record Unload(AdapterVersion adapter) implements RunnerAction {}
}
