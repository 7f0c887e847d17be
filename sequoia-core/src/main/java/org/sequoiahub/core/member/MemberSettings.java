package org.sequoiahub.core.member;

/**
 * How often hosts speak, and how long silence is believed to mean what.
 *
 * @param heartbeatMillis a host tells each other one its state at least this often
 * @param maxDatagramsPerSecond a host sends no more heartbeats than this: in a larger fleet each
 *     host is told less often, so that the cost of a host does not grow with the fleet
 * @param suspectAfterHeartbeats a host that missed this many heartbeats is suspected: it stays in
 *     the fleet, but nothing new is built on it
 * @param deadAfterHeartbeats a host that missed this many is taken for dead
 * @param retainMillis a dead host counts towards majorities for this long after its last word; a
 *     partition must not shrink its smaller side into a majority of its own
 */
public record MemberSettings(
    long heartbeatMillis,
    int maxDatagramsPerSecond,
    int suspectAfterHeartbeats,
    int deadAfterHeartbeats,
    long retainMillis) {

  private static final int MILLIS_PER_SECOND = 1_000;

  /**
   * Five heartbeats lost in a row come about once in 10^7 at 4% loss; callers keep an address for 1
   * s, so a dead host is named for 2.4 s at most in fleets of up to 50.
   */
  public static final MemberSettings DEFAULT = new MemberSettings(200, 250, 5, 12, 20_000);

  /** Returns how often each of {@code hosts} other hosts is told this host's state (ms). */
  public long heartbeatPeriodMillis(int hosts) {
    return Math.max(heartbeatMillis, (long) hosts * MILLIS_PER_SECOND / maxDatagramsPerSecond);
  }
}
