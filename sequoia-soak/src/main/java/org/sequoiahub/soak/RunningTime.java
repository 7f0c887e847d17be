package org.sequoiahub.soak;

/** How long a process was able to run, without the time in which it was paused. */
final class RunningTime {

  private static final long NOT_PAUSED = -1;

  private long pausedNanos;
  private long pauseStartNanos = NOT_PAUSED;

  /** Notes that the process stands still from now on; a second pause changes nothing. */
  synchronized void markPaused(long nowNanos) {
    if (pauseStartNanos == NOT_PAUSED) {
      pauseStartNanos = nowNanos;
    }
  }

  /** Notes that the process runs from now on. */
  synchronized void markResumed(long nowNanos) {
    if (pauseStartNanos != NOT_PAUSED) {
      pausedNanos += nowNanos - pauseStartNanos;
      pauseStartNanos = NOT_PAUSED;
    }
  }

  /** Returns a clock of the process's own (ns) that stands still while it is paused. */
  synchronized long runningNanos(long nowNanos) {
    long end = pauseStartNanos == NOT_PAUSED ? nowNanos : pauseStartNanos;
    return end - pausedNanos;
  }
}
