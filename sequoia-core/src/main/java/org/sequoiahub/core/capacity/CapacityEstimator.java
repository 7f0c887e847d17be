package org.sequoiahub.core.capacity;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.sequoiahub.core.runnerstate.StatedLoad;

/**
 * Estimates the speed of each runner incarnation from this host's responses, what runners state and
 * what other hosts report.
 *
 * <p>Estimation is in force for a service as soon as a runner of it has stated a pace; {@link
 * RunnerSpeed#DEFAULT} applies otherwise. Observed times are divided by the pace that the runner
 * stated, so that a runner whose statement is wrong by a constant factor gets the same current
 * speed as one that states the truth.
 *
 * <p>Not thread-safe.
 */
public final class CapacityEstimator {

  /** The factor by which an estimate may differ from the median of its service. */
  public static final double CLAMP_FACTOR = 4;

  /**
   * The number of prompt tokens below which the time to the first event says little about the
   * reading speed, as steps and the network take most of it.
   */
  public static final long MIN_PREFILL_TOKENS = 1_000;

  /**
   * Interval at which the medians of a service are computed (ms), as that takes all its runners.
   */
  private static final long MEDIAN_INTERVAL_MILLIS = 250;

  /** Time after which a runner without any use is forgotten (ms). */
  private static final long FORGET_MILLIS = 120_000;

  /** The factor by which an observation may differ from the initial value of its quantity. */
  private static final double PLAUSIBLE_FACTOR = 64;

  /** The number of runners that are kept; observations of others are ignored. */
  private static final int MAX_RUNNERS = 10_000;

  private final String host;
  private final CapacityListener listener;
  private final Map<String, Service> services = new HashMap<>();
  private final Map<String, Runner> runners = new HashMap<>();

  /** Is notified when estimation takes effect. */
  @FunctionalInterface
  public interface CapacityListener {
    /**
     * Called once for each service whose runners state a pace.
     *
     * @param service the service
     * @param runner the key of the first runner that stated one
     */
    void estimationBegun(String service, String runner, long nowMillis);
  }

  private static final class Service {
    final Map<String, Runner> members = new HashMap<>();
    final EnumMap<CapacityQuantity, Double> medians = new EnumMap<>(CapacityQuantity.class);
    long mediansMillis = Long.MIN_VALUE / 2;
    boolean inForce;
  }

  private static final class Runner {
    final Service service;
    final EnumMap<CapacityQuantity, SourcedEstimate> estimates =
        new EnumMap<>(CapacityQuantity.class);
    long usedMillis;

    /** The pace that the runner stated last; 1 if it stated none. */
    double statedPace = 1;

    Runner(Service service) {
      this.service = service;
      for (CapacityQuantity quantity : CapacityQuantity.values()) {
        estimates.put(quantity, new SourcedEstimate(quantity));
      }
    }

    SourcedEstimate estimate(CapacityQuantity quantity) {
      return requireNonNull(estimates.get(quantity));
    }
  }

  /**
   * Creates an estimator without observations.
   *
   * @param host the name of this host, as the source of its reports
   */
  public CapacityEstimator(String host, CapacityListener listener) {
    this.host = requireNonNull(host, "host must not be null");
    this.listener = requireNonNull(listener, "listener must not be null");
  }

  /** Records the load that a runner stated; one without a pace changes nothing. */
  public void recordStated(String runner, String service, StatedLoad load, long nowMillis) {
    Runner state = load.statesPace() ? runner(runner, service, nowMillis) : null;
    if (state == null) {
      return;
    }
    state.statedPace = plausible(CapacityQuantity.PACE, load.pacePercent() / 100.0);
    state.estimate(CapacityQuantity.PACE).record(state.statedPace, nowMillis);
    if (!state.service.inForce) {
      state.service.inForce = true;
      listener.estimationBegun(service, runner, nowMillis);
    }
  }

  /**
   * Records the first event of a stream. The load that its response states must be recorded before.
   *
   * @param tokens the prompt tokens that the runner had to read: those of this request and, at the
   *     time of sending, those ahead of it
   * @param tookMillis the time from sending to the first event (ms)
   */
  public void recordFirstEvent(
      String runner, String service, long tokens, long tookMillis, long nowMillis) {
    checkArgument(tokens >= 0, "tokens must not be negative, was %s", tokens);
    Runner state = isInForce(service) ? runner(runner, service, nowMillis) : null;
    if (state == null || tokens < MIN_PREFILL_TOKENS) {
      return;
    }
    double perMilli = tokens * state.statedPace / Math.max(1, tookMillis);
    state
        .estimate(CapacityQuantity.PREFILL_TOKENS_PER_MILLI)
        .record(plausible(CapacityQuantity.PREFILL_TOKENS_PER_MILLI, perMilli), nowMillis);
  }

  /**
   * Records a successful response to a plain call. Failures must not be recorded, as a runner that
   * fails fast would seem fast.
   *
   * @param ahead the number of requests at the runner when this one was sent
   * @param slots the number of requests that the runner processes concurrently
   * @param tookMillis the time from sending to the response (ms)
   */
  public void recordResponse(
      String runner, String service, int ahead, int slots, long tookMillis, long nowMillis) {
    Runner state = isInForce(service) ? runner(runner, service, nowMillis) : null;
    if (state == null) {
      return;
    }
    int divisor = Math.max(1, slots);
    double fullness = Math.min(1.0, (double) Math.max(0, ahead) / divisor);
    double waiting = (double) Math.max(0, ahead + 1 - divisor) / divisor;
    double multiple = 1 + waiting + RunnerSpeed.DEFAULT.fullnessSlowdown() * fullness;
    double millis = Math.max(1, tookMillis) / (multiple * state.statedPace);
    state
        .estimate(CapacityQuantity.SERVICE_MILLIS)
        .record(plausible(CapacityQuantity.SERVICE_MILLIS, millis), nowMillis);
  }

  /**
   * Applies the reports of other hosts. Those of runners that this host does not know are ignored,
   * as are obsolete and implausible ones.
   */
  public void merge(List<CapacityReport> reports, long nowMillis) {
    for (CapacityReport report : reports) {
      Runner state = runners.get(report.runner());
      if (state != null
          && !report.source().equals(host)
          && report.ageMillis() >= 0
          && report.value() > 0
          && Double.isFinite(report.value())) {
        state
            .estimate(report.quantity())
            .merge(
                report.source(),
                plausible(report.quantity(), report.value()),
                nowMillis - report.ageMillis());
      }
    }
  }

  /** Returns what this host has observed itself and what still counts. */
  public List<CapacityReport> reports(long nowMillis) {
    List<CapacityReport> reports = new ArrayList<>();
    runners.forEach(
        (key, runner) ->
            runner.estimates.forEach(
                (quantity, estimate) -> {
                  Double value = estimate.ownValue(nowMillis);
                  if (value != null) {
                    reports.add(
                        new CapacityReport(
                            key, host, quantity, value, nowMillis - estimate.ownMillis()));
                  }
                }));
    return reports;
  }

  /** Returns the speed of a runner; {@link RunnerSpeed#DEFAULT} if estimation is not in force. */
  public RunnerSpeed speed(String runner, String service, long nowMillis) {
    Runner state = isInForce(service) ? runner(runner, service, nowMillis) : null;
    if (state == null) {
      return RunnerSpeed.DEFAULT;
    }
    refreshMedians(state.service, nowMillis);
    return new RunnerSpeed(
        value(state, CapacityQuantity.PREFILL_TOKENS_PER_MILLI, nowMillis),
        value(state, CapacityQuantity.SERVICE_MILLIS, nowMillis),
        value(state, CapacityQuantity.PACE, nowMillis),
        RunnerSpeed.DEFAULT.fullnessSlowdown());
  }

  /** Returns whether estimation is in force for a service. */
  public boolean isInForce(String service) {
    Service state = services.get(service);
    return state != null && state.inForce;
  }

  /** Returns the services for which estimation is in force, for operators. */
  public List<ServiceCapacity> services(long nowMillis) {
    List<ServiceCapacity> capacities = new ArrayList<>();
    services.forEach(
        (name, service) -> {
          if (service.inForce) {
            refreshMedians(service, nowMillis);
            int observed = 0;
            double slowest = 0;
            for (Runner runner : service.members.values()) {
              observed += runner.estimate(CapacityQuantity.PACE).isKnown(nowMillis) ? 1 : 0;
              slowest = Math.max(slowest, value(runner, CapacityQuantity.PACE, nowMillis));
            }
            capacities.add(
                new ServiceCapacity(
                    name, service.members.size(), observed, medianSpeed(service), slowest));
          }
        });
    return capacities;
  }

  private static RunnerSpeed medianSpeed(Service service) {
    return new RunnerSpeed(
        requireNonNull(service.medians.get(CapacityQuantity.PREFILL_TOKENS_PER_MILLI)),
        requireNonNull(service.medians.get(CapacityQuantity.SERVICE_MILLIS)),
        requireNonNull(service.medians.get(CapacityQuantity.PACE)),
        RunnerSpeed.DEFAULT.fullnessSlowdown());
  }

  private static double value(Runner runner, CapacityQuantity quantity, long nowMillis) {
    double median = requireNonNull(runner.service.medians.get(quantity));
    return runner.estimate(quantity).value(median, CLAMP_FACTOR, nowMillis);
  }

  /** Computes the medians of a service if they are due, and forgets runners without use. */
  private void refreshMedians(Service service, long nowMillis) {
    if (nowMillis - service.mediansMillis < MEDIAN_INTERVAL_MILLIS) {
      return;
    }
    service.mediansMillis = nowMillis;
    service
        .members
        .entrySet()
        .removeIf(
            entry -> {
              boolean unused = nowMillis - entry.getValue().usedMillis >= FORGET_MILLIS;
              if (unused) {
                runners.remove(entry.getKey());
              }
              return unused;
            });
    for (CapacityQuantity quantity : CapacityQuantity.values()) {
      double center = service.medians.getOrDefault(quantity, quantity.initial());
      double[] values =
          service.members.values().stream()
              .map(runner -> runner.estimate(quantity))
              .filter(estimate -> estimate.isKnown(nowMillis))
              .mapToDouble(estimate -> estimate.observed(center, PLAUSIBLE_FACTOR, nowMillis))
              .toArray();
      Arrays.sort(values);
      // Without recent observations the last median still describes the service best.
      service.medians.put(quantity, values.length == 0 ? center : values[values.length / 2]);
    }
  }

  /** Returns the state of a runner, which is created if there is room; null if there is none. */
  private @Nullable Runner runner(String key, String service, long nowMillis) {
    Runner runner = runners.get(key);
    if (runner == null) {
      if (runners.size() >= MAX_RUNNERS) {
        return null;
      }
      Service state = services.computeIfAbsent(service, name -> new Service());
      runner = new Runner(state);
      state.members.put(key, runner);
      runners.put(key, runner);
    }
    runner.usedMillis = nowMillis;
    return runner;
  }

  private static double plausible(CapacityQuantity quantity, double value) {
    return Math.max(
        quantity.initial() / PLAUSIBLE_FACTOR,
        Math.min(quantity.initial() * PLAUSIBLE_FACTOR, value));
  }
}
