package org.sequoiahub.runtime.log;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.time.Instant;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/** Formats each log record as one line that starts with its time and level. */
public final class LineFormatter extends Formatter {

  /** Holds the lines of two seconds at a host's peak load. */
  private static final int QUEUE_CAPACITY = 8_192;

  /** Directs all log records of this process to standard output, formatted by this class. */
  public static void install(Level level) {
    Logger root = Logger.getLogger("");
    for (Handler handler : root.getHandlers()) {
      root.removeHandler(handler);
    }
    Handler console = new AsyncLogHandler(new FileOutputStream(FileDescriptor.out), QUEUE_CAPACITY);
    console.setFormatter(new LineFormatter());
    console.setLevel(level);
    root.addHandler(console);
    root.setLevel(Level.INFO);
    Logger.getLogger("org.sequoiahub").setLevel(level);
    Logger.getLogger("org.eclipse.jetty").setLevel(Level.WARNING);
  }

  /** Waits until the lines logged so far are written. */
  public static void flush() {
    for (Handler handler : Logger.getLogger("").getHandlers()) {
      handler.flush();
    }
  }

  @Override
  public String format(LogRecord record) {
    StringBuilder line = new StringBuilder();
    line.append("time=").append(Instant.ofEpochMilli(record.getMillis()));
    line.append(" level=").append(record.getLevel()).append(' ');
    line.append(formatMessage(record).replace('\n', ' ')).append('\n');
    if (record.getThrown() != null) {
      StringWriter trace = new StringWriter();
      record.getThrown().printStackTrace(new PrintWriter(trace));
      line.append(trace);
    }
    return line.toString();
  }
}
