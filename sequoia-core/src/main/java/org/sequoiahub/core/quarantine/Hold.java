package org.sequoiahub.core.quarantine;

import java.util.List;

/**
 * Why and until when a request is held back.
 *
 * @param ends the ends that decided it, the oldest first
 * @param untilMillis when it may be tried again, on this host's monotonic clock
 */
public record Hold(List<RunnerEnd> ends, long untilMillis) {

  /** Copies the list. */
  public Hold {
    ends = List.copyOf(ends);
  }
}
