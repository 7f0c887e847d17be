package org.sequoiahub.platform;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.HttpClient;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against truncated responses of plain services that count as complete. */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class ServiceClientTest {

  private static final long TIMEOUT_MILLIS = 20_000;

  /** Returns what a call yields whose response has neither a length nor chunks. */
  private static String call(boolean reset) throws Exception {
    HttpClient http = HttpClients.start();
    try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      Thread responder = new Thread(() -> respond(server, reset));
      responder.start();
      CompletableFuture<String> result = new CompletableFuture<>();
      new ServiceClient(http)
          .call(
              "127.0.0.1:" + server.getLocalPort(),
              "GET",
              "/x",
              Map.of(),
              new byte[0],
              TIMEOUT_MILLIS,
              new ServiceClient.Listener() {
                @Override
                public void onResponse(int status, Map<String, String> headers, byte[] body) {
                  result.complete(status + " " + new String(body, UTF_8));
                }

                @Override
                public void onFailure(boolean sent, String reason) {
                  result.complete(sent ? "lost" : "not sent");
                }
              });
      String received = result.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
      responder.join();
      return received;
    } finally {
      http.stop();
    }
  }

  private static void respond(ServerSocket server, boolean reset) {
    try (Socket connection = server.accept()) {
      if (connection.getInputStream().read() < 0) {
        return;
      }
      connection.getOutputStream().write("HTTP/1.1 200 OK\r\n\r\nhalf".getBytes(UTF_8));
      connection.getOutputStream().flush();
      TimeUnit.MILLISECONDS.sleep(100);
      if (reset) {
        connection.setSoLinger(true, 0);
      } else {
        connection.shutdownOutput();
        connection.getInputStream().readAllBytes();
      }
    } catch (IOException | InterruptedException e) {
      throw new IllegalStateException("the stand-in of a service failed", e);
    }
  }

  @Test
  void resetResponseIsLost() throws Exception {
    assertThat(call(true)).isEqualTo("lost");
  }

  @Test
  void closedResponseIsComplete() throws Exception {
    assertThat(call(false)).isEqualTo("200 half");
  }
}
