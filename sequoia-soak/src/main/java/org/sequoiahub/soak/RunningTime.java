package org.sequoiahub.soak;

/** How long a process was able to run, without the time in which it was paused. */
final class RunningTime {

  private static final long RUNS = -1;

  private long pausedNanos;
  private long pauseBeganNanos = RUNS;

  /** Notes that the process stands still from now on; a second pause changes nothing. */
  synchronized void paused(long nowNanos) {
    if (pauseBeganNanos == RUNS) {
      pauseBeganNanos = nowNanos;
    }
  }

  /** Notes that the process runs from now on. */
  synchronized void resumed(long nowNanos) {
    if (pauseBeganNanos != RUNS) {
      pausedNanos += nowNanos - pauseBeganNanos;
      pauseBeganNanos = RUNS;
    }
  }

  /** Returns a clock of the process's own (ns) that stands still while it is paused. */
  synchronized long nanos(long nowNanos) {
    long end = pauseBeganNanos == RUNS ? nowNanos : pauseBeganNanos;
    return end - pausedNanos;
  }
}
