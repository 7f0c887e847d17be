package org.sequoiahub.core.concurrency;

import static java.util.Objects.requireNonNull;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import org.sequoiahub.core.ratelimit.RunnerLimits;
import org.sequoiahub.core.upstream.RunnerEntry;

/**
 * How many refusals per second each runner withstands without failing.
 *
 * <p>Runners of one service state the same, so a runner that has not answered yet, such as one that
 * has just restarted, is taken to state what the others of its service do.
 */
public final class RefusalLimits {

  private final RunnerLimits stated;
  private final Function<String, Optional<RunnerEntry>> runners;

  /** The service of each runner with a statement in force, also after its entry is gone. */
  private final Map<String, String> services = new HashMap<>();

  /** The lowest limit in force in each service. */
  private final Map<String, Double> byService = new HashMap<>();

  /**
   * Creates a view of the statements.
   *
   * @param stated the refusals per second that runners stated
   * @param runners finds the entry of a runner by the key of its incarnation
   */
  public RefusalLimits(RunnerLimits stated, Function<String, Optional<RunnerEntry>> runners) {
    this.stated = requireNonNull(stated, "stated must not be null");
    this.runners = requireNonNull(runners, "runners must not be null");
  }

  /** Returns whether any runner states a limit. */
  public boolean isAnyInForce() {
    return stated.isAnyInForce();
  }

  /** Returns whether a runner, or another one of its service, states a limit. */
  public boolean applies(String runner) {
    return perSecond(runner) < RunnerLimits.UNLIMITED;
  }

  /**
   * Returns how many refusals per second a runner withstands; {@link RunnerLimits#UNLIMITED} if
   * none of its service states that.
   */
  public double perSecond(String runner) {
    if (!stated.isAnyInForce()) {
      return RunnerLimits.UNLIMITED;
    }
    double own = stated.perSecond(runner);
    return own < RunnerLimits.UNLIMITED
        ? own
        : byService.getOrDefault(service(runner), RunnerLimits.UNLIMITED);
  }

  /** Returns how many calls a runner states that it processes concurrently; 0 if not known. */
  public int slots(String runner) {
    return runners.apply(runner).map(RunnerEntry::slots).orElse(0);
  }

  /** Returns the service of a runner; empty if it is not known. */
  public String service(String runner) {
    String known = services.get(runner);
    return known != null ? known : runners.apply(runner).map(RunnerEntry::service).orElse("");
  }

  /** Brings the limits of the services up to date with the statements in force. */
  public void refresh() {
    Map<String, RunnerLimits.Limit> inForce = stated.inForce();
    Set<String> keys = inForce.keySet();
    services.keySet().retainAll(keys);
    byService.clear();
    inForce.forEach(
        (runner, limit) -> {
          String service = service(runner);
          if (!service.isEmpty()) {
            services.put(runner, service);
            byService.merge(service, limit.perSecond(), Math::min);
          }
        });
  }
}
