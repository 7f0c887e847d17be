package org.sequoiahub.node.store;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CyclicBarrier;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.eclipse.jetty.client.HttpClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.sequoiahub.node.upstream.UpstreamClient;
import org.sequoiahub.usersplatform.StoreClient;
import org.sequoiahub.usersplatform.StoreClient.Result;

/** A store whose existing connections fall silent forever while new ones work. */
class StoreConnectionsTest {

  private static final int LONG_TIMEOUT_MILLIS = 20_000;
  private static final int SHORT_TIMEOUT_MILLIS = 200;

  private static final String BODY = "{\"items\":[],\"currentRev\":9}";
  private static final String ANSWER =
      "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
          + BODY.length()
          + "\r\n\r\n"
          + BODY;

  /** The first two calls are answered once both have arrived, so that each has its connection. */
  private final CyclicBarrier firstTwoCalls = new CyclicBarrier(2);

  private final AtomicInteger accepted = new AtomicInteger();
  private ServerSocket server;
  private HttpClient http;
  private StoreClient client;

  @BeforeEach
  void open() throws Exception {
    server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    Thread acceptor = new Thread(this::accept, "store");
    acceptor.setDaemon(true);
    acceptor.start();
    http = UpstreamClient.start();
    client = new StoreClient(http, "127.0.0.1:" + server.getLocalPort());
  }

  @AfterEach
  void close() throws Exception {
    http.stop();
    server.close();
  }

  private void accept() {
    try {
      while (true) {
        Socket connection = server.accept();
        int number = accepted.incrementAndGet();
        Thread reader = new Thread(() -> serve(connection, number), "store-" + number);
        reader.setDaemon(true);
        reader.start();
      }
    } catch (IOException e) {
      // The test has closed the server.
    }
  }

  /** Answers one call on each of the first two connections and all on later ones. */
  private void serve(Socket connection, int number) {
    try {
      BufferedReader in =
          new BufferedReader(new InputStreamReader(connection.getInputStream(), UTF_8));
      OutputStream out = connection.getOutputStream();
      boolean silent = false;
      for (String line = in.readLine(); line != null; line = in.readLine()) {
        if (!line.isEmpty() || silent) {
          continue;
        }
        if (number <= 2) {
          firstTwoCalls.await(LONG_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
          silent = true;
        }
        out.write(ANSWER.getBytes(UTF_8));
        out.flush();
      }
    } catch (Exception e) {
      // The client closed the connection.
    }
  }

  private CompletableFuture<Result> call(int timeoutMillis) {
    CompletableFuture<Result> answer = new CompletableFuture<>();
    client.range("op/", "", timeoutMillis, answer::complete);
    return answer;
  }

  /** Guards against a lost call being repeated on another connection that is silent too. */
  @Test
  void callAfterTimeoutUsesNewConnection() throws Exception {
    CompletableFuture<Result> first = call(LONG_TIMEOUT_MILLIS);
    CompletableFuture<Result> second = call(LONG_TIMEOUT_MILLIS);
    assertThat(first.get()).isInstanceOf(Result.Items.class);
    assertThat(second.get()).isInstanceOf(Result.Items.class);

    assertThat(call(SHORT_TIMEOUT_MILLIS).get()).isInstanceOf(Result.Failed.class);

    assertThat(call(LONG_TIMEOUT_MILLIS).get()).isInstanceOf(Result.Items.class);
    assertThat(accepted.get()).isEqualTo(3);
  }
}
