package org.sequoiahub.core.quarantine;

import java.util.List;

/**
 * The quarantine that currently keeps a request from being sent to a runner.
 *
 * @param terminations the terminations that led to it, oldest first
 * @param untilMillis when the request may be tried again, on this host's monotonic clock
 */
public record ActiveQuarantine(List<RunnerTermination> terminations, long untilMillis) {

  /** Copies the list. */
  public ActiveQuarantine {
    terminations = List.copyOf(terminations);
  }
}
