package org.sequoiahub.runtime.duty;

import java.util.concurrent.TimeUnit;

/** Tells the present time in milliseconds, never going back; its zero has no meaning. */
@FunctionalInterface
public interface MonotonicClock {

  /** The clock of this machine. */
  MonotonicClock SYSTEM = () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime());

  /** Returns the present time. */
  long nowMillis();
}
