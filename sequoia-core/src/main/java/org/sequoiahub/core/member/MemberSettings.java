package org.sequoiahub.core.member;

/**
 * How long silence is believed to mean what.
 *
 * @param suspectMillis a host that was silent this long is suspected: it stays in the fleet, but
 *     nothing new is built on it
 * @param deadMillis a host that was silent this long is taken for dead
 * @param retainMillis a dead host counts towards majorities for this long after its last word; a
 *     partition must not shrink its smaller side into a majority of its own
 */
public record MemberSettings(long suspectMillis, long deadMillis, long retainMillis) {

  /**
   * Figures for heartbeats every 200 ms over links that lose a few percent of their packets: five
   * heartbeats lost in a row come about once in 10^7 at 4% loss; callers keep an address for 1 s.
   */
  public static final MemberSettings DEFAULT = new MemberSettings(1_000, 2_500, 20_000);
}
