package org.sequoiahub.runtime.http;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.concurrent.atomic.AtomicLong;

/** Bounds the bytes that wait for the slow readers of all responses together. Thread-safe. */
public final class WriteBudget {

  private final long maxBytes;
  private final AtomicLong used = new AtomicLong();

  /** Creates a budget of {@code maxBytes} bytes. */
  public WriteBudget(long maxBytes) {
    checkArgument(maxBytes > 0, "maxBytes must be above 0, was %s", maxBytes);
    this.maxBytes = maxBytes;
  }

  /** Takes bytes out of the budget; false if it does not hold as many. */
  public boolean acquire(long bytes) {
    if (used.addAndGet(bytes) <= maxBytes) {
      return true;
    }
    used.addAndGet(-bytes);
    return false;
  }

  /** Returns bytes to the budget that were acquired before. */
  public void release(long bytes) {
    used.addAndGet(-bytes);
  }

  /** Returns the number of bytes that were acquired and not released. */
  public long usedBytes() {
    return used.get();
  }
}
