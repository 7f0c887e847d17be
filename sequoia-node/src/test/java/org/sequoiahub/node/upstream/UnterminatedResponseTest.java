package org.sequoiahub.node.upstream;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.http.HttpFields;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.sequoiahub.core.routing.RepeatPolicy;
import org.sequoiahub.usersplatform.Headers;

/** Guards against runners whose responses never end: they must not occupy memory or a caller. */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class UnterminatedResponseTest {

  private static final String HEAD =
      "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n" + Headers.DIGEST + ": s\r\n";
  private static final String CHUNKED = HEAD + "Transfer-Encoding: chunked\r\n\r\n";

  /** Bytes after which a response that is not given up counts as unbounded. */
  private static final int UNBOUNDED_BYTES = 64 << 20;

  /** Bytes for which a runner that sends single bytes must be given up. */
  private static final int SINGLE_BYTES = 1 << 20;

  private static final int MAX_CONTENT_LENGTH = 1 << 20;

  private HttpClient http;
  private UpstreamClient client;

  /** The part of a response that never ends: what precedes it, and what is repeated. */
  enum Part {
    STATUS_LINE("HTTP/1.1 200 ", "x"),
    HEADER_LINE(HEAD + "X: ", "x"),
    HEADER_SECTION(HEAD, "X: x\r\n"),
    INFORMATIONAL_RESPONSES("", "HTTP/1.1 102 Processing\r\n\r\n"),
    CHUNK_SIZE(CHUNKED, "0"),
    CHUNK_EXTENSION(CHUNKED + "1;", "x"),
    TRAILER_LINE(CHUNKED + "0\r\nX: ", "x"),
    TRAILER_SECTION(CHUNKED + "0\r\n", "X: x\r\n"),
    NO_MESSAGE("", "x"),
    EMPTY_LINES("", "\r\n");

    final String start;
    final String repeated;

    Part(String start, String repeated) {
      this.start = start;
      this.repeated = repeated;
    }
  }

  @BeforeEach
  void start() throws Exception {
    http = UpstreamClient.start();
    client = new UpstreamClient(http, System::currentTimeMillis);
  }

  @AfterEach
  void stop() throws Exception {
    http.stop();
  }

  private Outcome receive(
      String start, byte[] repeated, int maxBytes, boolean stream, AttemptRecorder recorder)
      throws Exception {
    CountDownLatch closed = new CountDownLatch(1);
    try (ScriptedRunner runner =
        new ScriptedRunner(
            (number, connection, out) -> {
              connection.setTcpNoDelay(true);
              try {
                ScriptedRunner.write(out, start);
                for (long sent = 0; sent < maxBytes; sent += repeated.length) {
                  out.write(repeated);
                }
              } catch (IOException e) {
                closed.countDown();
                throw e;
              }
              // Keeps the connection open, so that only a bound ends the response. All bytes may
              // fit
              // into the buffers of the connection, so that no write shows its end.
              awaitEnd(connection);
              closed.countDown();
            })) {
      HttpFields headers = HttpFields.build().add("Request-Id", "1").add("Host", "h.example");
      client.start(
          runner.entry(), "GET", "/x", "1", headers, new byte[0], policy(stream), recorder);
      Outcome outcome = recorder.awaitOutcome();
      assertWithMessage("the connection was closed: %s", outcome)
          .that(closed.await(20, TimeUnit.SECONDS))
          .isTrue();
      return outcome;
    }
  }

  private static void awaitEnd(Socket connection) {
    try {
      while (connection.getInputStream().read() >= 0) {
        // The client sends nothing more.
      }
    } catch (IOException e) {
      // The client has reset the connection.
    }
  }

  private static void assertInvalid(Outcome outcome) {
    assertThat(outcome).isInstanceOf(Outcome.ResponseLost.class);
    assertWithMessage("connectionBroken of %s", outcome)
        .that(((Outcome.ResponseLost) outcome).connectionBroken())
        .isFalse();
  }

  private static byte[] bytes(String text) {
    return text.getBytes(UTF_8);
  }

  @ParameterizedTest
  @EnumSource
  void isGivenUpAtFullSpeed(Part part) throws Exception {
    byte[] block = bytes(part.repeated.repeat(1 + 8_192 / part.repeated.length()));
    assertInvalid(receive(part.start, block, UNBOUNDED_BYTES, false, new AttemptRecorder()));
  }

  @ParameterizedTest
  @EnumSource
  void isGivenUpIfSentInSmallPieces(Part part) throws Exception {
    assertInvalid(
        receive(part.start, bytes(part.repeated), SINGLE_BYTES, true, new AttemptRecorder()));
  }

  @Test
  void bufferedBodyIsGivenUp() throws Exception {
    String start = HEAD + "Content-Length: 99999999999\r\n\r\n";
    assertInvalid(receive(start, new byte[8_192], UNBOUNDED_BYTES, false, new AttemptRecorder()));
  }

  @Test
  void streamThatItsListenerRejectsIsGivenUp() throws Exception {
    String start = HEAD + "Content-Length: 99999999999\r\n\r\n";
    AttemptRecorder recorder = new AttemptRecorder(MAX_CONTENT_LENGTH);
    assertInvalid(receive(start, new byte[8_192], UNBOUNDED_BYTES, true, recorder));
  }

  private static RepeatPolicy policy(boolean stream) {
    return stream ? RepeatPolicy.RESUMABLE_STREAM : RepeatPolicy.IDEMPOTENT;
  }
}
