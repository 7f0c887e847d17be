package org.sequoiahub.node;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import java.net.InetAddress;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.sequoiahub.usersplatform.Headers;
import org.sequoiahub.usersplatform.standin.StandinRunner;

/** Guards against a stack trace in the log for each caller that leaves before its response. */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class CallerDisconnectLogTest {

  private static final Logger SERVER_LOG = Logger.getLogger("org.eclipse.jetty");

  private static final int PLAIN_MILLIS = 1_000;

  /** Records the messages that have a stack trace. */
  private static final class StackTraces extends Handler {
    final List<String> messages = new CopyOnWriteArrayList<>();

    @Override
    public void publish(LogRecord entry) {
      if (entry.getThrown() != null) {
        messages.add(entry.getMessage() + " " + entry.getThrown());
      }
    }

    @Override
    public void flush() {}

    @Override
    public void close() {}
  }

  @Test
  void callerThatLeavesLeavesNoStackTrace() throws Exception {
    StackTraces traces = new StackTraces();
    SERVER_LOG.addHandler(traces);
    try (LoopbackFleet fleet = new LoopbackFleet()) {
      fleet.configure(LoopbackFleet.route("/p/", "safe", "plain", false));
      StandinRunner runner = fleet.startRunner("i-1", "plain", "");
      runner.plainMillis(PLAIN_MILLIS);
      fleet.startOnlyNode();
      String request =
          "GET /p/x HTTP/1.1\r\nHost: h.example\r\n" + Headers.REQUEST_ID + ": gone\r\n\r\n";
      try (Socket socket =
          new Socket(InetAddress.getByName(LoopbackFleet.ip(1)), fleet.callerPort())) {
        socket.getOutputStream().write(request.getBytes(UTF_8));
        LoopbackFleet.await("the run", () -> fleet.runCount("gone") == 1);
      }
      // The stand-in runner would log a trace of its own if it were stopped during the run.
      TimeUnit.MILLISECONDS.sleep(2 * PLAIN_MILLIS);
    } finally {
      SERVER_LOG.removeHandler(traces);
    }
    assertThat(traces.messages).isEmpty();
  }
}
