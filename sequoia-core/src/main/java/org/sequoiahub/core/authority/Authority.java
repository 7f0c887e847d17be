package org.sequoiahub.core.authority;

/**
 * Acquires, renews and releases the exclusive authority over one runner.
 *
 * <p>All times are milliseconds of the holder's own monotonic clock. Authority expires a fixed time
 * after the last accepted renewal was <em>sent</em>. A process that was paused therefore finds its
 * authority expired when it resumes, however late the response to its renewal arrives.
 *
 * @see FencedAuthority
 * @see LeasedAuthority
 */
public interface Authority {

  /** Returns the authority held at {@code nowMillis}. */
  Rights rights(long nowMillis);

  /** Returns whether a claim or renewal should be sent now. */
  boolean claimDue(long nowMillis);

  /**
   * Returns the fencing number to send with every order and request; 0 if the engine checks none.
   */
  long fencingNumber();

  /** Releases the authority immediately; the next accepted claim starts a new term. */
  void release();
}
