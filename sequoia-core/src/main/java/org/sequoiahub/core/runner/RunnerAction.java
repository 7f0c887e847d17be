package org.sequoiahub.core.runner;

import org.sequoiahub.core.record.AdapterVersion;
import org.sequoiahub.core.verdict.Verdict.NotRun;

/** An action that results from a decision of a {@link RunnerController}. */
public sealed interface RunnerAction {

  /** Send the request to the engine. */
  record Start(RunnerRequest request) implements RunnerAction {}

  /** Reject the request, which was not sent to the engine. */
  record Reject(RunnerRequest request, NotRun verdict) implements RunnerAction {}

  /** Request that the engine cancels a running request. */
  record CancelRunning(RunnerRequest request) implements RunnerAction {}

  /**
   * Request a turn from the load turn keeper.
   *
   * @param adapter the adapter version to load
   * @param waiting the number of requests that wait for it
   * @param interactive whether one of them is interactive or treated as such
   */
  record RequestLoadTurn(AdapterVersion adapter, int waiting, boolean interactive)
      implements RunnerAction {}

  /** Release a requested or granted load turn. */
  record ReleaseLoadTurn(AdapterVersion adapter) implements RunnerAction {}

  /** Order the engine to load an adapter version. */
  record Load(AdapterVersion adapter) implements RunnerAction {}

  /** Order the engine to evict an adapter version. */
  record Unload(AdapterVersion adapter) implements RunnerAction {}
}
