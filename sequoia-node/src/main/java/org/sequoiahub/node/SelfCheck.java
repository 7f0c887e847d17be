package org.sequoiahub.node;

import java.io.IOException;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.logging.Level;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.StringRequestContent;
import org.eclipse.jetty.http.HttpMethod;
import org.sequoiahub.node.upstream.UpstreamClient;
import org.sequoiahub.runtime.duty.MonotonicClock;
import org.sequoiahub.runtime.log.LineFormatter;
import org.sequoiahub.runtime.settings.SettingsLoader;
import org.sequoiahub.schema.settings.NodeSettings;
import org.sequoiahub.usersplatform.AddressDialect;
import org.sequoiahub.usersplatform.HostSettings;
import org.sequoiahub.usersplatform.RecordDecoder;

/**
 * Starts a whole node on loopback ports without a fleet, asks it what callers and the platform ask,
 * and stops it.
 *
 * <p>The build runs it to record the classes that a start needs: with that archive a restarted
 * process spends its first second on requests instead of on loading classes.
 */
final class SelfCheck {

  private static final int PORTS = 6;
  private static final int ROUNDS = 20;
  private static final long STOP_MILLIS = 500;

  private static final NodeSettings FALLBACK =
      NodeSettings.newBuilder().setAddressTtlMs(1_000).build();

  private SelfCheck() {}

  /** Runs the check; returns the process's exit code. */
  static int run() throws Exception {
    LineFormatter.install(Level.INFO);
    NodeSettings own =
        new SettingsLoader<>("sequoia-node", "self-check", NodeSettings.getDefaultInstance())
            .load(new String[0], Map.of())
            .fold(settings -> settings, problems -> FALLBACK, text -> FALLBACK);
    boolean good = new RecordDecoder().sampleConfiguration().size() > 0;
    List<Integer> ports = freePorts();
    Node node = Node.start(own, settings(ports), MonotonicClock.SYSTEM.nowMillis());
    HttpClient client = UpstreamClient.start();
    for (int round = 0; round < ROUNDS; round++) {
      good &= status(client, ports.get(1), AddressDialect.READINESS_PATH, false) == 503;
      good &= status(client, ports.get(2), AddressDialect.ADDRESS_PATH, false) == 503;
      good &= status(client, ports.get(0), "/some/path", true) == 503;
    }
    client.stop();
    node.stop();
    System.out.println(good ? "self-check passed" : "self-check failed");
    return good ? 0 : 1;
  }

  private static int status(HttpClient client, int port, String path, boolean post)
      throws Exception {
    var request =
        client
            .newRequest("http://127.0.0.1:" + port + path)
            .method(post ? HttpMethod.POST : HttpMethod.GET);
    if (post) {
      request.body(new StringRequestContent("self-check"));
    }
    ContentResponse response = request.send();
    return response.getStatus();
  }

  private static List<Integer> freePorts() throws IOException {
    List<ServerSocket> open = new ArrayList<>();
    List<Integer> ports = new ArrayList<>();
    for (int i = 0; i < PORTS; i++) {
      ServerSocket socket = new ServerSocket(0);
      open.add(socket);
      ports.add(socket.getLocalPort());
    }
    for (ServerSocket socket : open) {
      socket.close();
    }
    return ports;
  }

  private static HostSettings settings(List<Integer> ports) {
    return new HostSettings(
        "self-check",
        "none",
        "127.0.0.1",
        ports.get(0),
        ports.get(1),
        ports.get(2),
        ports.get(3),
        ports.get(4),
        List.of("127.0.0.1"),
        true,
        "127.0.0.1:" + ports.get(5),
        STOP_MILLIS,
        3_000,
        0.2,
        50,
        10_000,
        5_000,
        100);
  }
}
