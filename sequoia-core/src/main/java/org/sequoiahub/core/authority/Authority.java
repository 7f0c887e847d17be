package org.sequoiahub.core.authority;

/**
 * Gains, keeps and gives up the authority over one runner.
 *
 * <p>All times are milliseconds of the holder's own monotonic clock. Authority ends a fixed time
 * after the <em>sending</em> of the last accepted renewal, so a process that was paused finds its
 * authority expired when it wakes, however late the answer to its renewal arrives.
 *
 * @see FencedAuthority
 * @see LeasedAuthority
 */
public interface Authority {

  /** Returns what may be done at {@code nowMillis}. */
  Rights rights(long nowMillis);

  /** Returns whether a claim or renewal should be sent now. */
  boolean claimDue(long nowMillis);

  /** Returns the number to send with every order and request; 0 if the engine checks none. */
  long fencingNumber();

  /** Ends the authority at once; the next claim starts a new term. */
  void release();
}
