package org.sequoiahub.soak;

/** Measures how long a process was able to run, excluding the time in which it was paused. */
final class RunningTime {

  private static final long NOT_PAUSED = -1;

  private long pausedNanos;
  private long pauseStartNanos = NOT_PAUSED;

  /** Records that the process is paused; has no effect if it is already paused. */
  synchronized void markPaused(long nowNanos) {
    if (pauseStartNanos == NOT_PAUSED) {
      pauseStartNanos = nowNanos;
    }
  }

  /** Records that the process is resumed; has no effect if it is not paused. */
  synchronized void markResumed(long nowNanos) {
    if (pauseStartNanos != NOT_PAUSED) {
      pausedNanos += nowNanos - pauseStartNanos;
      pauseStartNanos = NOT_PAUSED;
    }
  }

  /**
   * Returns the reading of a clock that stops while the process is paused (ns). Only differences
   * between two readings are meaningful.
   */
  synchronized long runningNanos(long nowNanos) {
    long end = pauseStartNanos == NOT_PAUSED ? nowNanos : pauseStartNanos;
    return end - pausedNanos;
  }
}
