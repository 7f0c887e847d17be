package org.sequoiahub.node.call;

import static java.util.Objects.requireNonNull;

import com.codahale.metrics.MetricRegistry;
import org.eclipse.jetty.http.HttpStatus;
import org.sequoiahub.core.concurrency.RunPermits;
import org.sequoiahub.core.upstream.RunnerEntry;
import org.sequoiahub.node.upstream.Outcome;
import org.sequoiahub.runtime.log.EventLog;

/** Decides what a runner's refusal of a request means for the choice of the next runner. */
final class RefusalHandling {

  private final FleetView fleet;
  private final CandidateSelector selector;
  private final RunPermits runPermits;
  private final MetricRegistry metrics;
  private final EventLog log;

  RefusalHandling(
      FleetView fleet,
      CandidateSelector selector,
      RunPermits runPermits,
      MetricRegistry metrics,
      EventLog log) {
    this.fleet = requireNonNull(fleet, "fleet must not be null");
    this.selector = requireNonNull(selector, "selector must not be null");
    this.runPermits = requireNonNull(runPermits, "runPermits must not be null");
    this.metrics = requireNonNull(metrics, "metrics must not be null");
    this.log = requireNonNull(log, "log must not be null");
  }

  /** Returns how an attempt with an outcome ended for the runner's capacity. */
  static RunPermits.End end(Outcome outcome) {
    boolean refused =
        outcome instanceof Outcome.Refused r && r.status() == HttpStatus.SERVICE_UNAVAILABLE_503;
    return refused ? RunPermits.End.REFUSED : RunPermits.End.ANSWERED;
  }

  /** Applies a refusal before the request is placed again. */
  void apply(Call call, RunnerEntry runner, Outcome.Refused refused, long nowMillis) {
    if (!fleet.isOpen(runner, nowMillis)) {
      // The runner is not chosen again before the end of its backoff.
      log.debug("refused-with-backoff", "request", call.id(), "runner", runner.id());
    } else if (end(refused) == RunPermits.End.REFUSED && runPermits.isRequired(runner.id())) {
      // The runner is healthy, and permits keep the request from it until it has capacity.
      metrics.counter("runner_capacity.refused").inc();
      log.info("refused-for-capacity", "request", call.id(), "runner", runner.id());
    } else if (!call.adapter().isEmpty()
        && (call.adapterMissingAt.add(runner.id())
            || !selector.hasOtherRunner(call, runner, nowMillis))) {
      // The adapter was expected there: it becomes ready slightly later, or was evicted.
      fleet.recordRefusal(runner, call.adapter(), nowMillis);
    } else {
      // A second refusal shows that the holder's report is wrong: another runner is tried.
      call.excludedRunners.add(runner.id());
      fleet.health(runner).failed(nowMillis);
    }
  }
}
