package org.sequoiahub.core.quarantine;

import java.util.List;

/**
 * Why and until when a request is held back.
 *
 * @param terminations the ends that decided it, the oldest first
 * @param untilMillis when it may be tried again, on this host's monotonic clock
 */
public record ActiveQuarantine(List<RunnerTermination> terminations, long untilMillis) {

  /** Copies the list. */
  public ActiveQuarantine {
    terminations = List.copyOf(terminations);
  }
}
