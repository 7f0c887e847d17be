package org.sequoiahub.node.caller;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.ByteArrayOutputStream;
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
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.sequoiahub.core.routing.CallerLimits;
import org.sequoiahub.runtime.port.FreePorts;

/** Guards against limits on callers that end responses in progress. */
@Timeout(value = 120, unit = TimeUnit.SECONDS)
class CallerServerTest {

  private static final String IP = "127.0.0.1";
  private static final int HEADER_BYTES = 16 << 10;
  private static final int BODY_BYTES = 1 << 20;

  /** An idle limit that no response of these tests reaches (ms). */
  private static final long LONG_IDLE_MILLIS = 60_000;

  /** An idle limit below the time that the responses of these tests take (ms). */
  private static final long SHORT_IDLE_MILLIS = 300;

  private static final long RESPONSE_MILLIS = 3 * SHORT_IDLE_MILLIS;

  /** Time after which a hanging test fails (ms). */
  private static final int TIMEOUT_MILLIS = 30_000;

  private final BlockingQueue<CallerExchange> requests = new LinkedBlockingQueue<>();
  private CallerServer server;
  private int port;

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
            () -> limits(LONG_IDLE_MILLIS, HEADER_BYTES),
            path -> "",
            requests::add,
            idleLimitMillis -> idleLimitMillis);
    server.start();
    server.apply(limits(LONG_IDLE_MILLIS, HEADER_BYTES));
  }

  @AfterEach
  void close() throws Exception {
    server.close();
  }

  private static CallerLimits limits(long idleMillis, int headerBytes) {
    return new CallerLimits(headerBytes, BODY_BYTES, 3_000, idleMillis);
  }

  private static void sleep(long millis) throws InterruptedException {
    TimeUnit.MILLISECONDS.sleep(millis);
  }

  private Socket connect() throws IOException {
    Socket socket = new Socket(IP, port);
    socket.setSoTimeout(TIMEOUT_MILLIS);
    return socket;
  }

  private CallerExchange send(Socket socket, String headers) throws Exception {
    write(socket, "GET /p HTTP/1.1\r\nHost: h.example\r\n" + headers + "\r\n");
    return next();
  }

  private CallerExchange next() throws InterruptedException {
    CallerExchange request = requests.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    assertWithMessage("a request").that(request).isNotNull();
    return request;
  }

  private static void write(Socket socket, String text) throws IOException {
    OutputStream out = socket.getOutputStream();
    out.write(text.getBytes(ISO_8859_1));
    out.flush();
  }

  private static void respond(CallerExchange request, String body) {
    request.respond(200, HttpFields.EMPTY, body.getBytes(UTF_8));
  }

  /** Reads until what was read ends with {@code end}, or to the end of the connection. */
  private static String read(Socket socket, String end) {
    ByteArrayOutputStream received = new ByteArrayOutputStream();
    try {
      while (!received.toString(ISO_8859_1).endsWith(end)) {
        int next = socket.getInputStream().read();
        if (next < 0) {
          break;
        }
        received.write(next);
      }
    } catch (IOException e) {
      return received.toString(ISO_8859_1) + " " + e;
    }
    return received.toString(ISO_8859_1);
  }

  /** The time that a response takes is longer than the idle limit. */
  @Nested
  class IdleLimit {

    @Test
    void wholeResponseIsNotEnded() throws Exception {
      server.apply(limits(SHORT_IDLE_MILLIS, HEADER_BYTES));
      try (Socket socket = connect()) {
        CallerExchange request = send(socket, "");
        sleep(RESPONSE_MILLIS);
        respond(request, "whole");
        assertThat(read(socket, "whole")).endsWith("whole");
      }
    }

    @Tag("known-red")
    @Test
    void silentStreamIsNotEnded() throws Exception {
      server.apply(limits(SHORT_IDLE_MILLIS, HEADER_BYTES));
      try (Socket socket = connect()) {
        CallerExchange request = send(socket, "");
        request.start(200, HttpFields.EMPTY);
        request.writeChunk(ByteBuffer.wrap("one".getBytes(UTF_8)));
        sleep(RESPONSE_MILLIS);
        request.writeChunk(ByteBuffer.wrap("two".getBytes(UTF_8)));
        request.complete();
        assertThat(read(socket, "\r\n0\r\n\r\n")).endsWith("3\r\ntwo\r\n0\r\n\r\n");
      }
    }

    @Test
    void lowerLimitDoesNotEndRequestThatHasWaitedLonger() throws Exception {
      try (Socket socket = connect()) {
        final CallerExchange request = send(socket, "");
        sleep(RESPONSE_MILLIS);
        server.apply(limits(SHORT_IDLE_MILLIS, HEADER_BYTES));
        sleep(SHORT_IDLE_MILLIS);
        respond(request, "whole");
        assertThat(read(socket, "whole")).endsWith("whole");
      }
    }

    @Test
    void lowerLimitDoesNotEndAnUploadInProgress() throws Exception {
      try (Socket socket = connect()) {
        write(socket, "POST /p HTTP/1.1\r\nHost: h.example\r\nContent-Length: 20\r\n\r\n");
        for (int part = 0; part < 20; part++) {
          if (part == 5) {
            server.apply(limits(10 * SHORT_IDLE_MILLIS, HEADER_BYTES));
          }
          sleep(SHORT_IDLE_MILLIS);
          write(socket, "x");
        }
        CallerExchange request = next();
        assertThat(request.body()).hasLength(20);
        respond(request, "whole");
        assertThat(read(socket, "whole")).endsWith("whole");
      }
    }

    /** Guards against connections that stay open for good once they served a long response. */
    @Test
    void connectionIsClosedAfterTheLimitOnceItsResponseIsComplete() throws Exception {
      server.apply(limits(SHORT_IDLE_MILLIS, HEADER_BYTES));
      try (Socket socket = connect()) {
        CallerExchange request = send(socket, "");
        sleep(RESPONSE_MILLIS);
        respond(request, "whole");
        assertThat(read(socket, "whole")).endsWith("whole");
        assertThat(socket.getInputStream().read()).isEqualTo(-1);
      }
    }

    @Test
    void keptConnectionServesTheNextRequestAfterChange() throws Exception {
      try (Socket socket = connect()) {
        for (int number = 0; number < 6; number++) {
          respond(send(socket, ""), "whole" + number);
          assertThat(read(socket, "whole" + number)).endsWith("whole" + number);
          server.apply(limits(LONG_IDLE_MILLIS / (1 + number % 3), HEADER_BYTES));
        }
      }
    }
  }

  @Nested
  class HeaderLimit {

    @Test
    void lowerLimitEndsNeitherResponseNorKeptConnection() throws Exception {
      try (Socket socket = connect()) {
        CallerExchange request = send(socket, "X: " + "x".repeat(1_000) + "\r\n");
        server.apply(limits(LONG_IDLE_MILLIS, 200));
        respond(request, "whole");
        assertThat(read(socket, "whole")).endsWith("whole");
        respond(send(socket, ""), "next");
        assertThat(read(socket, "next")).endsWith("next");
      }
    }

    @Test
    void lowerLimitDoesNotEndAnUploadInProgress() throws Exception {
      try (Socket socket = connect()) {
        String headers = "Content-Length: 3\r\nX: " + "x".repeat(1_000) + "\r\n\r\n";
        write(socket, "POST /p HTTP/1.1\r\nHost: h.example\r\n" + headers + "a");
        sleep(SHORT_IDLE_MILLIS);
        server.apply(limits(LONG_IDLE_MILLIS, 200));
        write(socket, "bc");
        CallerExchange request = next();
        assertThat(request.body()).hasLength(3);
        respond(request, "whole");
        assertThat(read(socket, "whole")).endsWith("whole");
      }
    }
  }
}
