package org.sequoiahub.runtime.duty;

import java.util.concurrent.TimeUnit;

/** A clock in milliseconds that never goes backwards; its origin is arbitrary. */
@FunctionalInterface
public interface MonotonicClock {

  /** The system's monotonic clock. */
  MonotonicClock SYSTEM = () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime());

  /** Returns the current time (ms). */
  long nowMillis();
}
