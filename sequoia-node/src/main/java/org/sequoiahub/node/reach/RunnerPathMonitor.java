package org.sequoiahub.node.reach;

import static java.util.Objects.requireNonNull;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongFunction;
import java.util.function.LongSupplier;
import org.sequoiahub.core.reach.RunnerPath;
import org.sequoiahub.core.upstream.RunnerEntry;
import org.sequoiahub.runtime.log.EventLog;

/**
 * Feeds a {@link RunnerPath} with this host's connects, requests and probes, and reports what it
 * decides.
 *
 * <p>Its methods must be called on the decision thread, except {@link #isLost} and {@link
 * #responseReceived}.
 */
public final class RunnerPathMonitor {

  private final RunnerPath path;
  private final LongFunction<Collection<RunnerEntry>> runners;
  private final ConnectProber prober;
  private final Consumer<Runnable> decisionThread;
  private final LongSupplier clock;
  private final Listener listener;
  private final MetricRegistry metrics;
  private final EventLog log;

  /** Runners that refused a connection since the path was last known to work, by id. */
  private final Map<String, RunnerEntry> refusals = new LinkedHashMap<>();

  private volatile boolean lost;
  private volatile boolean responseReceived;
  private long lostSinceMillis;

  /** Receives what is decided, on the decision thread. */
  public interface Listener {

    /** Called when the path was lost or restored. */
    void pathChanged();

    /** Called for a runner that refused a connection while the path works. */
    void connectionRefused(RunnerEntry runner, long nowMillis);
  }

  /**
   * Creates a monitor.
   *
   * @param runners returns the runners that may be probed at a time
   * @param decisionThread executes tasks on the decision thread
   * @param clock the monotonic time (ms)
   */
  public RunnerPathMonitor(
      RunnerPath path,
      LongFunction<Collection<RunnerEntry>> runners,
      ConnectProber prober,
      Consumer<Runnable> decisionThread,
      LongSupplier clock,
      Listener listener,
      MetricRegistry metrics,
      EventLog log) {
    this.path = requireNonNull(path, "path must not be null");
    this.runners = requireNonNull(runners, "runners must not be null");
    this.prober = requireNonNull(prober, "prober must not be null");
    this.decisionThread = requireNonNull(decisionThread, "decisionThread must not be null");
    this.clock = requireNonNull(clock, "clock must not be null");
    this.listener = requireNonNull(listener, "listener must not be null");
    this.metrics = requireNonNull(metrics, "metrics must not be null");
    this.log = requireNonNull(log, "log must not be null");
    metrics.register("runner_path.lost", (Gauge<Integer>) () -> lost ? 1 : 0);
  }

  /** Returns whether the path is lost. */
  public boolean isLost() {
    return lost;
  }

  /** Records that a request was sent to a runner. */
  public void recordSent(long nowMillis) {
    path.recordSent(nowMillis);
  }

  /** Records that a response, or a part of one, arrived from a runner. Thread-safe. */
  public void responseReceived() {
    responseReceived = true;
  }

  /**
   * Records that a connect to a runner failed.
   *
   * @param refused whether the connection was refused rather than timed out
   */
  public void recordConnectFailure(RunnerEntry runner, boolean refused) {
    path.recordConnectFailure(runner.id());
    if (refused) {
      refusals.put(runner.id(), runner);
    }
  }

  /** Starts the probes that are due. */
  public void tick(long nowMillis) {
    if (responseReceived) {
      responseReceived = false;
      path.recordResponse();
    }
    for (RunnerEntry runner : path.startRoundIfDue(() -> runners.apply(nowMillis), nowMillis)) {
      metrics.counter("runner_path.probes").inc();
      prober.probe(
          runner,
          connected ->
              decisionThread.accept(() -> probed(runner.id(), connected, clock.getAsLong())));
    }
  }

  private void probed(String runner, boolean connected, long nowMillis) {
    switch (path.recordProbe(runner, connected, nowMillis)) {
      case WORKS -> reportRefusals(nowMillis);
      case LOST -> {
        lost = true;
        lostSinceMillis = path.lostSinceMillis();
        refusals.clear();
        log.warning(
            "runner-path-lost",
            "why",
            "connects to runners of different services and domains failed; requests are passed on"
                + " to other hosts; check this host's links to the runners");
        listener.pathChanged();
      }
      case RESTORED -> {
        log.info("runner-path-restored", "lost_ms", nowMillis - lostSinceMillis);
        lost = false;
        refusals.clear();
        listener.pathChanged();
      }
      default -> {
        // Nothing has changed.
      }
    }
  }

  private void reportRefusals(long nowMillis) {
    List<RunnerEntry> refused = List.copyOf(refusals.values());
    refusals.clear();
    refused.forEach(runner -> listener.connectionRefused(runner, nowMillis));
  }
}
