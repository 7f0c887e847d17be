package org.sequoiahub.node.caller;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static java.nio.charset.StandardCharsets.ISO_8859_1;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.security.SecureRandom;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.http.HttpFields;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.sequoiahub.core.routing.CallerLimits;
import org.sequoiahub.runtime.port.FreePorts;

/**
 * Guards against callers whose requests never end, and against responses that a caller does not
 * read: neither may occupy a connection or memory without a bound.
 */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class UnterminatedRequestTest {

  private static final String IP = "127.0.0.1";
  private static final int HEADER_TIMEOUT_MILLIS = 500;
  private static final CallerLimits LIMITS =
      new CallerLimits(16 << 10, 1 << 20, HEADER_TIMEOUT_MILLIS, 60_000);
  private static final String POST = "POST /p HTTP/1.1\r\nHost: h.example\r\n";
  private static final String CHUNKED = POST + "Transfer-Encoding: chunked\r\n\r\n";

  /** Bytes after which a request that is not given up counts as unbounded. */
  private static final int UNBOUNDED_BYTES = 64 << 20;

  private static final long UNBOUNDED_NANOS = TimeUnit.SECONDS.toNanos(10);

  private final BlockingQueue<CallerExchange> requests = new LinkedBlockingQueue<>();
  private CallerServer server;
  private int port;

  /** The part of a request that never ends: what precedes it, and what is repeated. */
  enum Part {
    REQUEST_LINE("GET /", "x"),
    HEADER_LINE(POST + "X: ", "x"),
    HEADER_SECTION(POST, "X: x\r\n"),
    CHUNK_SIZE(CHUNKED, "0"),
    CHUNK_EXTENSION(CHUNKED + "1;", "x"),
    TRAILER_LINE(CHUNKED + "0\r\nX: ", "x"),
    TRAILER_SECTION(CHUNKED + "0\r\n", "X: x\r\n"),
    EMPTY_LINES("", "\r\n");

    final String start;
    final String repeated;

    Part(String start, String repeated) {
      this.start = start;
      this.repeated = repeated;
    }
  }

  @BeforeEach
  void open() throws Exception {
    List<Integer> ports = FreePorts.find(3, new SecureRandom());
    port = ports.get(0);
    server =
        new CallerServer(
            IP,
            port,
            ports.get(1),
            ports.get(2),
            0,
            1_000,
            List::of,
            () -> true,
            () -> LIMITS,
            path -> "",
            requests::add);
    server.start();
    server.apply(LIMITS);
  }

  @AfterEach
  void close() throws Exception {
    server.close();
  }

  /** Writes until the server closes the connection; fails at the given bound. */
  private void assertClosed(String start, String repeated, long pauseMillis) throws Exception {
    byte[] block = repeated.getBytes(ISO_8859_1);
    long end = System.nanoTime() + UNBOUNDED_NANOS;
    long sent = 0;
    try (Socket socket = new Socket(IP, port)) {
      socket.setTcpNoDelay(true);
      OutputStream out = socket.getOutputStream();
      out.write(start.getBytes(ISO_8859_1));
      while (sent < UNBOUNDED_BYTES && System.nanoTime() < end) {
        out.write(block);
        sent += block.length;
        TimeUnit.MILLISECONDS.sleep(pauseMillis);
      }
    } catch (IOException e) {
      assertThat(requests).isEmpty();
      return;
    }
    assertWithMessage("the connection is still open after %s bytes", sent).fail();
  }

  @Nested
  class Requests {
    @ParameterizedTest
    @EnumSource
    void areGivenUpAtFullSpeed(Part part) throws Exception {
      assertClosed(part.start, part.repeated.repeat(1 + 8_192 / part.repeated.length()), 0);
    }

    @ParameterizedTest
    @EnumSource
    void areGivenUpIfSentSlowly(Part part) throws Exception {
      assertClosed(part.start, part.repeated, 10);
    }

    @Test
    void bodyIsGivenUpAtItsLimit() throws Exception {
      assertClosed(POST + "Content-Length: 99999999999\r\n\r\n", "x".repeat(8_192), 0);
    }
  }

  @Nested
  class UnreadResponses {
    private static final int EVENT_BYTES = 64 << 10;

    private CallerExchange request(Socket socket) throws Exception {
      socket
          .getOutputStream()
          .write("GET /p HTTP/1.1\r\nHost: h.example\r\n\r\n".getBytes(ISO_8859_1));
      CallerExchange request = requests.poll(20, TimeUnit.SECONDS);
      assertWithMessage("a request").that(request).isNotNull();
      request.start(200, HttpFields.EMPTY);
      return request;
    }

    private int writeUntilRejected(CallerExchange request) {
      int written = 0;
      while (written < UNBOUNDED_BYTES && request.writeChunk(ByteBuffer.allocate(EVENT_BYTES))) {
        written += EVENT_BYTES;
      }
      return written;
    }

    @Test
    void areBrokenOffAtTheLimitOfTheirConnection() throws Exception {
      try (Socket socket = new Socket(IP, port)) {
        CallerExchange request = request(socket);
        // The sockets' own buffers hold some megabytes.
        assertThat(writeUntilRejected(request)).isLessThan(UNBOUNDED_BYTES / 2);
        assertThat(request.isCallerDisconnected()).isTrue();
      }
    }
  }
}
