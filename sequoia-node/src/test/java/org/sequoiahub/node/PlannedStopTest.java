package org.sequoiahub.node;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static java.nio.charset.StandardCharsets.ISO_8859_1;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sequoiahub.usersplatform.Headers;
import org.sequoiahub.usersplatform.standin.StandinRunner;

/** Sends requests over real connections to a host until it has stopped. */
class PlannedStopTest {

  private static final int WORK_MILLIS = 25;
  private static final int DEADLINE_MILLIS = 300;
  private static final int CALLERS = 12;

  private LoopbackFleet fleet;
  private StandinRunner runner;

  @BeforeEach
  void start() throws Exception {
    fleet = new LoopbackFleet();
    fleet.configure(LoopbackFleet.route("/once/", "unsafe", "plain", false));
    runner = fleet.startRunner("i-1", "plain", "");
    runner.plainMillis(WORK_MILLIS);
  }

  @AfterEach
  void stop() throws Exception {
    fleet.close();
  }

  /** A caller's connection that is used for one request after the other. */
  private final class Connection implements AutoCloseable {
    private final Socket socket = new Socket();
    private final BufferedReader reader;

    Connection() throws IOException {
      socket.connect(new InetSocketAddress(LoopbackFleet.ip(1), fleet.callerPort()), 5_000);
      socket.setSoTimeout(20_000);
      reader = new BufferedReader(new InputStreamReader(socket.getInputStream(), ISO_8859_1));
    }

    void send(String id) throws IOException {
      String head =
          String.join(
              "\r\n",
              "POST /once/x HTTP/1.1",
              "Host: h.example",
              Headers.REQUEST_ID + ": " + id,
              Headers.DEADLINE + ": " + DEADLINE_MILLIS,
              "Content-Length: 2",
              "",
              "ab");
      socket.getOutputStream().write(head.getBytes(ISO_8859_1));
    }

    /** Reads a response and returns its status; 0 if the connection ends before it does. */
    int readStatus() {
      try {
        String first = reader.readLine();
        if (first == null) {
          return 0;
        }
        int length = 0;
        for (String line = reader.readLine(); line != null && !line.isEmpty(); ) {
          if (line.toLowerCase(java.util.Locale.ROOT).startsWith("content-length:")) {
            length = Integer.parseInt(line.substring(line.indexOf(':') + 1).strip());
          }
          line = reader.readLine();
        }
        for (int i = 0; i < length; i++) {
          if (reader.read() < 0) {
            return 0;
          }
        }
        return Integer.parseInt(first.split(" ", 3)[1]);
      } catch (IOException e) {
        return 0;
      }
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }
  }

  /** Guards against requests that are accepted by a host that is about to exit. */
  @Nested
  class AfterTheStop {
    @Tag("known-red")
    @Test
    void noConnectionIsOpen() throws Exception {
      fleet.shutdownMillis(1_000);
      Node node = fleet.startOnlyNode();
      try (Connection kept = new Connection()) {
        kept.send("q-1");
        assertThat(kept.readStatus()).isEqualTo(200);
        node.leave();
        kept.send("q-2");
        assertThat(kept.readStatus()).isEqualTo(0);
      } catch (IOException e) {
        // The write has failed: the connection is closed.
      }
      assertThat(fleet.runCount("q-2")).isEqualTo(0);
      int status = 0;
      try (Connection late = new Connection()) {
        late.send("q-3");
        status = late.readStatus();
      } catch (IOException e) {
        // The connection was refused.
      }
      assertThat(status).isEqualTo(0);
      assertThat(fleet.runCount("q-3")).isEqualTo(0);
    }
  }

  /**
   * Guards against requests that reach a runner late in a planned stop, and whose callers'
   * connections then end without a response.
   */
  @Nested
  class UntilTheStop {
    @ParameterizedTest
    @ValueSource(ints = {1_000, 2_500})
    void everyRequestThatRunsIsAnswered(int graceMillis) throws Exception {
      fleet.shutdownMillis(graceMillis);
      Node node = fleet.startOnlyNode();
      Queue<String> unanswered = new ConcurrentLinkedQueue<>();
      AtomicInteger answered = new AtomicInteger();
      List<Thread> callers = new ArrayList<>();
      for (int number = 0; number < CALLERS; number++) {
        String prefix = "c" + number + "-";
        Thread caller = new Thread(() -> askUntilRefused(prefix, answered, unanswered));
        caller.start();
        callers.add(caller);
      }
      LoopbackFleet.await("requests", () -> answered.get() > 5 * CALLERS);
      // As when the process exits.
      node.stop();
      for (Thread caller : callers) {
        caller.join();
      }
      unanswered.removeIf(id -> fleet.runCount(id) == 0);
      assertWithMessage("requests that ran and were not answered").that(unanswered).isEmpty();
    }

    private void askUntilRefused(String prefix, AtomicInteger answered, Queue<String> unanswered) {
      int number = 0;
      while (true) {
        try (Connection connection = new Connection()) {
          int status;
          do {
            String id = prefix + number++ + ".";
            unanswered.add(id);
            connection.send(id);
            status = connection.readStatus();
            if (status != 0) {
              unanswered.remove(id);
              answered.incrementAndGet();
            }
          } while (status != 0);
        } catch (IOException e) {
          return;
        }
      }
    }
  }
}
