package org.sequoiahub.node;

import static com.google.common.truth.Truth.assertWithMessage;
import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static java.nio.charset.StandardCharsets.UTF_8;
import static java.util.Objects.requireNonNull;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import net.jqwik.api.lifecycle.AfterContainer;
import net.jqwik.api.lifecycle.BeforeContainer;
import org.jspecify.annotations.Nullable;
import org.sequoiahub.usersplatform.Headers;
import org.sequoiahub.usersplatform.standin.StandinConfiguration;

/** Guards against callers that get a complete framing of less than the runner's body. */
class TruncatedResponsePropertiesTest {

  private static final int READ_TIMEOUT_MILLIS = 20_000;
  private static final String LAST_CHUNK = "\r\n0\r\n\r\n";

  private static @Nullable LoopbackFleet fleet;
  private static @Nullable ServerSocket runner;
  private static int number;
  private static volatile Response planned = new Response("", false);

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
    ServerSocket socket = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    runner = socket;
    Thread thread = new Thread(() -> serve(socket), "truncating-runner");
    thread.setDaemon(true);
    thread.start();
    opened.configure(
        LoopbackFleet.route("/plain/", "unsafe", "raw", false),
        LoopbackFleet.route("/stream/", "streaming", "raw", false));
    opened.store.put(
        "servers/i-1",
        StandinConfiguration.runnerEntry("raw", "127.0.0.1:" + socket.getLocalPort()));
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

  private static void serve(ServerSocket socket) {
    while (!socket.isClosed()) {
      try (Socket connection = socket.accept()) {
        InputStream in = connection.getInputStream();
        StringBuilder head = new StringBuilder();
        for (int next = in.read(); next >= 0 && head.indexOf("\r\n\r\n") < 0; ) {
          head.append((char) next);
          next = head.indexOf("\r\n\r\n") < 0 ? in.read() : -1;
        }
        Response response = planned;
        connection.getOutputStream().write(response.text.getBytes(ISO_8859_1));
        connection.getOutputStream().flush();
        if (response.reset) {
          connection.setSoLinger(true, 0);
        }
      } catch (IOException e) {
        // A connect without a request, or the end of the test; callers show what was received.
      }
    }
  }

  private static String send(String path) throws IOException {
    LoopbackFleet hosts = requireNonNull(fleet);
    try (Socket socket = new Socket(LoopbackFleet.ip(1), hosts.callerPort())) {
      socket.setSoTimeout(READ_TIMEOUT_MILLIS);
      String head =
          "GET "
              + path
              + " HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\n"
              + Headers.REQUEST_ID
              + ": r\r\n"
              + Headers.DEADLINE
              + ": 15000\r\n\r\n";
      socket.getOutputStream().write(head.getBytes(UTF_8));
      ByteArrayOutputStream received = new ByteArrayOutputStream();
      InputStream in = socket.getInputStream();
      try {
        for (int next = in.read(); next >= 0; next = in.read()) {
          received.write(next);
        }
      } catch (IOException e) {
        return "reset";
      }
      return received.toString(ISO_8859_1);
    }
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
