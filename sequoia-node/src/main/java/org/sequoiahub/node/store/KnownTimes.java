package org.sequoiahub.node.store;

/**
 * As of when the records of the store are known, on the monotonic clock.
 *
 * @param operatorsMillis as of when the operators' records are known (ms)
 * @param runnersMillis as of when the runners' entries are known (ms)
 */
public record KnownTimes(long operatorsMillis, long runnersMillis) {

  /** Nothing is known. */
  public static final KnownTimes NEVER = new KnownTimes(Long.MIN_VALUE / 2, Long.MIN_VALUE / 2);

  /** Returns the later time of each prefix. */
  public KnownTimes latest(KnownTimes other) {
    return new KnownTimes(
        Math.max(operatorsMillis, other.operatorsMillis),
        Math.max(runnersMillis, other.runnersMillis));
  }

  KnownTimes withOperators(long millis) {
    return new KnownTimes(Math.max(operatorsMillis, millis), runnersMillis);
  }

  KnownTimes withRunners(long millis) {
    return new KnownTimes(operatorsMillis, Math.max(runnersMillis, millis));
  }
}
