package org.sequoiahub.core.authority;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Authority over a runner whose engine checks fencing numbers: the engine itself is the arbiter.
 *
 * <p>A claim is a harmless order with a higher number. An accepted one makes the engine refuse
 * every order with a lower number; a refused one ends the authority at once and tells the number to
 * exceed.
 */
public final class FencedAuthority implements Authority {

  private static final int RENEWALS_PER_TERM = 3;
  private static final int TAG_BITS = 32;

  private final long durationMillis;
  private final Term term;
  private final long holderTag;
  private long fencingNumber;
  private long nextClaimMillis = Long.MIN_VALUE;

  /**
   * Creates an authority that is not held.
   *
   * @param durationMillis how long authority lasts after the sending of an accepted renewal
   * @param tag a number drawn at random by this holder; it makes the holder's fencing numbers its
   *     own
   */
  public FencedAuthority(long durationMillis, int tag) {
    checkArgument(durationMillis > 0, "durationMillis must be above 0");
    this.durationMillis = durationMillis;
    this.term = new Term(durationMillis);
    this.holderTag = Integer.toUnsignedLong(tag);
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
   * Records that the engine accepted the claim with {@code claimed}, sent at {@code sentMillis}.
   */
  public void claimAccepted(long claimed, long sentMillis, long nowMillis) {
    if (claimed == fencingNumber) {
      term.claimAccepted(sentMillis, nowMillis);
    }
  }

  /**
   * Records that the engine refused an order or claim that carried {@code refused}.
   *
   * <p>A refusal of an older number of this holder's own says nothing about the present one.
   *
   * @param highest the highest number that the engine has accepted
   */
  public void fencingNumberRefused(long refused, long highest, long nowMillis) {
    if (refused != fencingNumber) {
      return;
    }
    boolean preempted = term.held(nowMillis);
    term.end();
    fencingNumber = nextNumberAbove(Math.max(fencingNumber, highest));
    // A new owner exceeds the number at once. One that was pre-empted waits a term first: otherwise
    // two dispatchers with different host lists would take turns at the engine with every order.
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
   * Returns the next number of this holder above {@code other}.
   *
   * <p>An engine accepts the highest number again and again, as its owner's renewals need it to.
   * Were two dispatchers to choose the same number, both would hold authority at once, and one
   * would evict under the other's request. So the low half of a number is the holder's own tag.
   */
  private long nextNumberAbove(long other) {
    return ((other >>> TAG_BITS) + 1) << TAG_BITS | holderTag;
  }
}
