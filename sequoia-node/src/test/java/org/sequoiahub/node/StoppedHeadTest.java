package org.sequoiahub.node;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.sequoiahub.node.upstream.ScriptedRunner;
import org.sequoiahub.usersplatform.Headers;
import org.sequoiahub.usersplatform.standin.StandinRunner;

/**
 * Guards against callers that get a success for a response whose runner stopped within its head.
 */
class StoppedHeadTest {

  private static final String HEAD =
      "HTTP/1.1 200 OK\r\nRequest-Id: r\r\n" + Headers.DIGEST + ": s\r\n";

  private static final String HEALTH_CHECK = "GET /health ";
  private static final String HEALTHY =
      "HTTP/1.1 200 OK\r\n" + Headers.RUNNER + ": i-1\r\nContent-Length: 0\r\n\r\n";

  /** Distance of the places within a head at which it stops (bytes). */
  private static final int STEP_BYTES = 5;

  private LoopbackFleet fleet;
  private ScriptedRunner runner;
  private volatile String sent = "";
  private volatile Ending ending = Ending.CLOSE;

  /** How the runner ends the connection. */
  enum Ending {
    CLOSE,
    RESET,
    HALF_CLOSE
  }

  /** The framing that the rest of the head would have stated. */
  enum Framing {
    LENGTH("Content-Length: 12\r\n\r\n"),
    CHUNKS("Transfer-Encoding: chunked\r\n\r\n"),
    CONNECTION_END("Connection: close\r\n\r\n");

    final String fields;

    Framing(String fields) {
      this.fields = fields;
    }
  }

  @BeforeEach
  void start() throws Exception {
    fleet = new LoopbackFleet();
    runner = new ScriptedRunner(this::respond);
    fleet.configure(
        LoopbackFleet.route("/safe/", "safe", "plain", false),
        LoopbackFleet.route("/once/", "unsafe", "plain", false),
        LoopbackFleet.route("/stream/", "streaming", "plain", false),
        LoopbackFleet.route("/resumable/", "streaming", "plain", true));
    StandinRunner described = fleet.startRunner("i-1", "plain", "");
    fleet.store.put("servers/i-1", described.entry("ready", runner.entry().address()));
    fleet.startOnlyNode();
  }

  @AfterEach
  void stop() throws Exception {
    fleet.close();
    runner.close();
  }

  private void respond(int number, Socket connection, OutputStream out) throws IOException {
    if (runner.requestHeads().get(number - 1).startsWith(HEALTH_CHECK)) {
      ScriptedRunner.write(out, HEALTHY);
      return;
    }
    ScriptedRunner.write(out, sent);
    switch (ending) {
      case CLOSE -> connection.close();
      case RESET -> ScriptedRunner.reset(connection);
      default -> connection.shutdownOutput();
    }
  }

  private String firstLine(String path) throws IOException {
    String request =
        "GET "
            + path
            + " HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\n"
            + Headers.REQUEST_ID
            + ": r\r\n"
            + Headers.DEADLINE
            + ": 3000\r\n\r\n";
    String received = RawCaller.send(LoopbackFleet.ip(1), fleet.callerPort(), request).text();
    return received.lines().findFirst().orElse("");
  }

  @ParameterizedTest
  @EnumSource
  void isNoSuccess(Ending how) throws Exception {
    ending = how;
    int responses = 0;
    for (String prefix : new String[] {"/safe/", "/once/", "/stream/", "/resumable/"}) {
      for (Framing framing : Framing.values()) {
        String head = HEAD + framing.fields;
        for (int cut = 0; cut < head.length(); cut += STEP_BYTES) {
          sent = head.substring(0, cut);
          String line = firstLine(prefix + cut + framing);
          assertWithMessage("%s %s after %s", prefix, how, sent)
              .that(line.startsWith("HTTP/1.1 2"))
              .isFalse();
          responses += line.startsWith("HTTP/1.1 5") ? 1 : 0;
        }
        sent = head.substring(0, head.length() - 1);
        assertThat(firstLine(prefix + "last" + framing)).doesNotContain(" 200 ");
      }
    }
    assertThat(responses).isGreaterThan(0);
  }
}
