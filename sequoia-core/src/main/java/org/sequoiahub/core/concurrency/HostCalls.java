package org.sequoiahub.core.concurrency;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.Map;

/**
 * The calls of one host at one runner, as the host states them to the issuer of run permits.
 *
 * @param runner the key of the runner's incarnation
 * @param held the calls in flight and the permits that are not used yet
 * @param answered how many calls ended since the host's process started
 * @param refused how many calls the runner refused since the host's process started
 * @param granted how many permits were granted to the host, as it last received it
 * @param demands how many further permits the host waits for, by the priority of the calls; lower
 *     priorities come first
 */
public record HostCalls(
    String runner,
    int held,
    long answered,
    long refused,
    long granted,
    Map<Integer, Integer> demands) {

  /** Checks the arguments and copies the map. */
  public HostCalls {
    checkArgument(!runner.isEmpty(), "runner must not be empty");
    checkArgument(granted >= 0, "granted must not be negative, was %s", granted);
    checkArgument(held >= 0, "held must not be negative, was %s", held);
    demands = Map.copyOf(demands);
  }
}
