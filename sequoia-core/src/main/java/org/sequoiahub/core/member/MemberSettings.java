package org.sequoiahub.core.member;

/**
 * Settings for how often hosts send heartbeats, and for when a silent host is suspected, dead or
 * forgotten.
 *
 * @param heartbeatMillis the longest period at which a host sends its state to each other one in a
 *     small fleet
 * @param maxDatagramsPerSecond the maximum number of heartbeats that a host sends per second; in a
 *     larger fleet each host is sent heartbeats less often, so that the cost of a host does not
 *     grow with the fleet
 * @param suspectAfterHeartbeats the number of missed heartbeats after which a host is suspected: it
 *     remains in the fleet but is given no new duties
 * @param deadAfterHeartbeats the number of missed heartbeats after which a host is considered dead
 * @param retainMillis how long a dead host counts towards majorities after its last message; a
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
   * The settings that hosts use. Losing five heartbeats in a row has a probability of about 10^-7
   * at 4% loss. Callers keep an address for 1 s, and a dead host is advertised for at most 2.4 s in
   * fleets of up to 50 hosts.
   */
  public static final MemberSettings DEFAULT = new MemberSettings(200, 250, 5, 12, 20_000);

  /** Returns the period at which each of {@code hosts} other hosts is sent a heartbeat (ms). */
  public long heartbeatPeriodMillis(int hosts) {
    return Math.max(heartbeatMillis, (long) hosts * MILLIS_PER_SECOND / maxDatagramsPerSecond);
  }
}
