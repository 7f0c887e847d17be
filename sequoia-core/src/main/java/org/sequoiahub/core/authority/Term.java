package org.sequoiahub.core.authority;

/** Tracks when one holder's authority begins and expires, independent of how it is granted. */
final class Term {

  private final long durationMillis;
  private long number;
  private long expiresMillis = Long.MIN_VALUE;
  private long exclusiveSinceMillis = Long.MAX_VALUE / 2;

  Term(long durationMillis) {
    this.durationMillis = durationMillis;
  }

  /** Records that a claim sent at {@code sentMillis} was accepted. */
  void claimAccepted(long sentMillis, long nowMillis) {
    if (!held(nowMillis)) {
      number++;
      // The previous holder's last renewal was accepted before this claim, at the latest now, so
      // its authority expires within one duration from now.
      exclusiveSinceMillis = nowMillis + durationMillis;
    }
    expiresMillis = Math.max(expiresMillis, sentMillis + durationMillis);
  }

  /** Returns when the last term expired or expires (ms); {@link Long#MIN_VALUE} without one. */
  long expiresMillis() {
    return expiresMillis;
  }

  void end() {
    expiresMillis = Long.MIN_VALUE;
    exclusiveSinceMillis = Long.MAX_VALUE / 2;
  }

  boolean held(long nowMillis) {
    return nowMillis < expiresMillis;
  }

  Rights rights(long nowMillis) {
    return held(nowMillis) ? new Rights(true, number, exclusiveSinceMillis) : Rights.NONE;
  }
}
