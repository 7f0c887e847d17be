package org.sequoiahub.core.authority;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Authority over a runner whose engine checks fencing numbers and so arbitrates between holders.
 *
 * <p>A claim is an order without side effects that carries a higher number. Once the engine has
 * accepted it, the engine refuses every order with a lower number. A refusal ends the authority
 * immediately and reports the number to exceed.
 */
public final class FencedAuthority implements Authority {

  private static final int RENEWALS_PER_TERM = 3;
  private static final int HOLDER_TAG_BITS = 32;

  private final long durationMillis;
  private final Term term;
  private final long holderTag;
  private long fencingNumber;
  private long nextClaimMillis = Long.MIN_VALUE;

  /**
   * Creates an authority that is not held.
   *
   * @param durationMillis how long authority lasts after an accepted renewal was sent
   * @param holderTag a number that this holder drew at random; it keeps the holder's fencing
   *     numbers distinct from those of other holders
   */
  public FencedAuthority(long durationMillis, int holderTag) {
    checkArgument(durationMillis > 0, "durationMillis must be above 0");
    this.durationMillis = durationMillis;
    this.term = new Term(durationMillis);
    this.holderTag = Integer.toUnsignedLong(holderTag);
    this.fencingNumber = nextNumberAbove(0);
  }

  @Override
  public Rights rights(long nowMillis) {
    return term.rights(nowMillis);
  }

  @Override
  public boolean claimDue(long nowMillis) {
    return nowMillis >= nextClaimMillis;
  }

  /** Records that a claim is being sent. */
  public void claimSent(long nowMillis) {
    nextClaimMillis = nowMillis + durationMillis / RENEWALS_PER_TERM;
  }

  /**
   * Records that the engine accepted the claim that carried {@code claimedNumber}.
   *
   * @param sentMillis when the claim was sent
   */
  public void claimAccepted(long claimedNumber, long sentMillis, long nowMillis) {
    if (claimedNumber == fencingNumber) {
      term.claimAccepted(sentMillis, nowMillis);
    }
  }

  /**
   * Records that the engine refused an order or claim that carried {@code refusedNumber}.
   *
   * <p>The refusal of an older number of this holder is ignored, because the current number may
   * still be accepted.
   *
   * @param highestAccepted the highest number that the engine has accepted
   */
  public void fencingNumberRefused(long refusedNumber, long highestAccepted, long nowMillis) {
    if (refusedNumber != fencingNumber) {
      return;
    }
    boolean preempted = term.held(nowMillis);
    term.end();
    fencingNumber = nextNumberAbove(Math.max(fencingNumber, highestAccepted));
    // A dispatcher that did not hold authority claims with a higher number immediately, but a
    // pre-empted holder waits for one term first. Otherwise, two dispatchers with different host
    // lists would pre-empt each other with every order.
    nextClaimMillis = preempted ? nowMillis + durationMillis : nowMillis;
  }

  @Override
  public long fencingNumber() {
    return fencingNumber;
  }

  @Override
  public void release() {
    term.end();
    fencingNumber = nextNumberAbove(fencingNumber);
    nextClaimMillis = Long.MIN_VALUE;
  }

  /**
   * Returns the next number of this holder above {@code floor}.
   *
   * <p>An engine accepts the highest number repeatedly, because renewals reuse it. If two
   * dispatchers chose the same number, both would hold authority at once, and one could evict an
   * adapter that a request of the other is using. The low half of a number is therefore the
   * holder's own tag.
   */
  private long nextNumberAbove(long floor) {
    return ((floor >>> HOLDER_TAG_BITS) + 1) << HOLDER_TAG_BITS | holderTag;
  }
}
