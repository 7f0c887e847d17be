package org.sequoiahub.runtime.log;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.flogger.FluentLogger;
import java.util.logging.Level;
import org.jspecify.annotations.Nullable;

/**
 * Writes events, one line of {@code key=value} pairs each.
 *
 * <p>The first pair is {@code event=NAME}; values with blanks, quotes or equals signs are quoted.
 * docs/OPERATIONS.md lists the events.
 */
public final class EventLog {

  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

  private final String commonPairs;

  /**
   * Creates a log whose lines all contain the process's role and host.
   *
   * @param role the binary's role, such as {@code entry}
   * @param host the host's name
   */
  public EventLog(String role, String host) {
    this.commonPairs = " role=" + role + " host=" + host;
  }

  /** Writes an event of normal operation. */
  public void info(String event, @Nullable Object... pairs) {
    write(Level.INFO, event, pairs);
  }

  /** Writes an event that an operator may have to act on. */
  public void warning(String event, @Nullable Object... pairs) {
    write(Level.WARNING, event, pairs);
  }

  /** Writes an event for troubleshooting; disabled by default. */
  public void debug(String event, @Nullable Object... pairs) {
    if (LOGGER.atFine().isEnabled()) {
      write(Level.FINE, event, pairs);
    }
  }

  /** Writes an unexpected failure of the program and where it was raised. */
  public void defect(Throwable failure) {
    StackTraceElement[] frames = failure.getStackTrace();
    String at = frames.length == 0 ? "unknown" : frames[0].toString();
    warning("defect", "failure", failure, "at", at);
  }

  private void write(Level level, String event, @Nullable Object[] pairs) {
    checkArgument(pairs.length % 2 == 0, "pairs must be key, value, ...; event was %s", event);
    StringBuilder line = new StringBuilder("event=").append(event).append(commonPairs);
    for (int i = 0; i < pairs.length; i += 2) {
      line.append(' ')
          .append(pairs[i])
          .append('=')
          .append(quoteIfNeeded(String.valueOf(pairs[i + 1])));
    }
    LOGGER.at(level).log("%s", line);
  }

  private static String quoteIfNeeded(String value) {
    boolean plain = !value.isEmpty();
    for (int i = 0; i < value.length() && plain; i++) {
      char c = value.charAt(i);
      plain = c > ' ' && c != '"' && c != '=' && c != '\\';
    }
    if (plain) {
      return value;
    }
    String escaped = value.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n");
    return '"' + escaped.replace("\r", "\\r") + '"';
  }
}
