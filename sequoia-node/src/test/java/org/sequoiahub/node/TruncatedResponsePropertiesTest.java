package org.sequoiahub.node;

import static com.google.common.truth.Truth.assertWithMessage;
import static java.util.Objects.requireNonNull;

import java.io.IOException;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import net.jqwik.api.lifecycle.AfterContainer;
import net.jqwik.api.lifecycle.BeforeContainer;
import org.jspecify.annotations.Nullable;
import org.sequoiahub.node.upstream.ScriptedRunner;
import org.sequoiahub.usersplatform.Headers;
import org.sequoiahub.usersplatform.standin.StandinRunner;

/** Guards against callers that get a complete framing of less than the runner's body. */
class TruncatedResponsePropertiesTest {

  private static final String LAST_CHUNK = "\r\n0\r\n\r\n";

  private static @Nullable LoopbackFleet fleet;
  private static @Nullable ScriptedRunner runner;
  private static int number;
  private static volatile Response planned = new Response("", false);

  private static final String HEALTH_CHECK = "GET /health ";

  /** The answer of a runner that outlives its responses, whole or truncated. */
  private static final String HEALTHY =
      "HTTP/1.1 200 OK\r\n" + Headers.RUNNER + ": i-1\r\nContent-Length: 0\r\n\r\n";

  /** What the runner sends, and whether it resets the connection then. */
  private record Response(String text, boolean reset) {}

  enum Framing {
    LENGTH,
    CHUNKS,
    NEITHER
  }

  @BeforeContainer
  static void open() throws Exception {
    LoopbackFleet opened = new LoopbackFleet();
    fleet = opened;
    ScriptedRunner scripted =
        new ScriptedRunner(
            (request, connection, out) -> {
              if (requireNonNull(runner).requestHeads().get(request - 1).startsWith(HEALTH_CHECK)) {
                ScriptedRunner.write(out, HEALTHY);
                return;
              }
              Response response = planned;
              ScriptedRunner.write(out, response.text);
              if (response.reset) {
                ScriptedRunner.reset(connection);
              } else {
                connection.close();
              }
            });
    runner = scripted;
    opened.configure(
        LoopbackFleet.route("/plain/", "unsafe", "plain", false),
        LoopbackFleet.route("/stream/", "streaming", "plain", false));
    StandinRunner described = opened.startRunner("i-1", "plain", "");
    opened.store.put("servers/i-1", described.entry("ready", scripted.entry().address()));
    opened.startOnlyNode();
  }

  @AfterContainer
  static void close() throws Exception {
    if (runner != null) {
      runner.close();
    }
    if (fleet != null) {
      fleet.close();
    }
  }

  private static String send(String path) throws IOException {
    String request =
        "GET "
            + path
            + " HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\n"
            + Headers.REQUEST_ID
            + ": r\r\n"
            + Headers.DEADLINE
            + ": 15000\r\n\r\n";
    RawCaller.Received received =
        RawCaller.send(LoopbackFleet.ip(1), requireNonNull(fleet).callerPort(), request);
    return received.end() == RawCaller.End.CLOSED ? received.text() : "reset";
  }

  /** Returns the body of a complete successful response; null for any other one. */
  private static @Nullable String completeBody(String received) {
    int end = received.indexOf("\r\n\r\n");
    if (end < 0 || !received.startsWith("HTTP/1.1 200")) {
      return null;
    }
    String head = received.substring(0, end);
    String body = received.substring(end + 4);
    if (!head.contains("Transfer-Encoding: chunked")) {
      return head.contains("Content-Length: " + body.length()) ? body : null;
    }
    if (!("\r\n" + body).endsWith(LAST_CHUNK)) {
      return null;
    }
    StringBuilder decoded = new StringBuilder();
    for (int at = 0; at < body.length(); ) {
      int lineEnd = body.indexOf("\r\n", at);
      int size = Integer.parseInt(body.substring(at, lineEnd), 16);
      decoded.append(body, lineEnd + 2, lineEnd + 2 + size);
      at = lineEnd + 2 + size + 2;
    }
    return decoded.toString();
  }

  private static String framed(Framing framing, List<String> pieces) {
    String body = String.join("", pieces);
    return switch (framing) {
      case LENGTH -> "Content-Length: " + body.length() + "\r\n\r\n" + body;
      case NEITHER -> "\r\n" + body;
      case CHUNKS -> {
        StringBuilder chunks = new StringBuilder("Transfer-Encoding: chunked\r\n\r\n");
        for (String piece : pieces) {
          chunks.append(Integer.toHexString(piece.length())).append("\r\n");
          chunks.append(piece).append("\r\n");
        }
        yield chunks + "0\r\n\r\n";
      }
    };
  }

  @Property(tries = 400, seed = "20261203", shrinking = ShrinkingMode.OFF)
  void completeFramingMeansTheWholeBody(
      @ForAll boolean stream,
      @ForAll Framing framing,
      @ForAll @Size(min = 1, max = 6) List<@IntRange(min = 1, max = 90) Integer> sizes,
      @ForAll @IntRange(max = 900) int cut,
      @ForAll boolean reset)
      throws Exception {
    List<String> pieces =
        sizes.stream()
            .map(size -> stream ? "id: " + size + "\ndata: x\n\n" : "y".repeat(size))
            .toList();
    String body = String.join("", pieces);
    String head =
        "HTTP/1.1 200 OK\r\nConnection: close\r\nRequest-Id: r\r\n" + Headers.DIGEST + ": s\r\n";
    String whole = head + framed(framing, pieces);
    String sent = whole.substring(0, Math.min(cut, whole.length()));
    planned = new Response(sent, reset);
    number++;
    String response = send((stream ? "/stream/" : "/plain/") + number);
    @Nullable String received = completeBody(response);
    String trial =
        framing + (reset ? ", reset" : ", closed") + " after:\n" + sent + "\ncaller:\n" + response;
    boolean endUnmarked = framing == Framing.NEITHER && !reset;
    if (sent.equals(whole) && !reset) {
      assertWithMessage("whole, %s", trial).that(received).isEqualTo(body);
    } else if (received != null && !received.equals(body)) {
      assertWithMessage("truncated, %s", trial).that(endUnmarked).isTrue();
      assertWithMessage("truncated inside an event, %s", trial)
          .that(!stream || (received.endsWith("\n\n") && sent.endsWith("\n\n")))
          .isTrue();
    }
  }
}
