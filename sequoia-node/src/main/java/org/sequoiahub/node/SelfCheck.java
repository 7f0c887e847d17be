package org.sequoiahub.node;

import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.logging.Level;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.StringRequestContent;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.http.HttpStatus;
import org.sequoiahub.core.allowance.AllowanceSettings;
import org.sequoiahub.core.retry.RetryBudgetSettings;
import org.sequoiahub.node.upstream.UpstreamClient;
import org.sequoiahub.runtime.duty.MonotonicClock;
import org.sequoiahub.runtime.log.LineFormatter;
import org.sequoiahub.runtime.port.FreePorts;
import org.sequoiahub.runtime.settings.SettingsLoader;
import org.sequoiahub.schema.settings.NodeSettings;
import org.sequoiahub.usersplatform.AddressProtocol;
import org.sequoiahub.usersplatform.Headers;
import org.sequoiahub.usersplatform.HostSettings;
import org.sequoiahub.usersplatform.SampleRecords;

/**
 * Starts two whole nodes on loopback addresses, asks one what callers and the platform ask, lets it
 * bring an adapter to a sample runner and serve a stream from there, and stops both.
 *
 * <p>The build runs it to record the classes that a process needs: with that archive a restarted
 * process spends its first seconds on requests instead of on loading classes. So what a request, an
 * order and a word between hosts need is done here too.
 */
final class SelfCheck {

  private static final int PORTS = 6;
  private static final int ROUNDS = 20;
  private static final long STOP_MILLIS = 500;
  private static final List<String> IPS = List.of("127.0.0.1", "127.0.0.2");

  /** How long the nodes may take to find each other and to gain the runner's lease (ms). */
  private static final long SERVE_MILLIS = 60_000;

  private static final long PAUSE_MILLIS = 100;
  private static final int DEADLINE_MILLIS = 3_000;

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
    List<Integer> ports = FreePorts.find(PORTS, new SecureRandom());
    HttpClient client = UpstreamClient.start();
    boolean good;
    try (SampleRunner runner = new SampleRunner()) {
      List<Node> nodes = new ArrayList<>();
      for (String ip : IPS) {
        nodes.add(Node.start(own, settings(ip, ports), MonotonicClock.SYSTEM.nowMillis()));
      }
      good = answersWithoutRecords(client, ports);
      nodes.get(0).adopt(SampleRecords.records(runner.address()));
      good &= serves(client, ports.get(0));
      for (Node node : nodes) {
        node.stop();
      }
    }
    client.stop();
    System.out.println(good ? "self-check passed" : "self-check failed");
    return good ? 0 : 1;
  }

  private static boolean answersWithoutRecords(HttpClient client, List<Integer> ports)
      throws Exception {
    boolean good = true;
    for (int round = 0; round < ROUNDS; round++) {
      good &= isUnavailable(client, ports.get(1), AddressProtocol.READINESS_PATH);
      good &= isUnavailable(client, ports.get(2), AddressProtocol.ADDRESS_PATH);
      good &= stream(client, ports.get(0)) == HttpStatus.SERVICE_UNAVAILABLE_503;
    }
    return good;
  }

  private static boolean isUnavailable(HttpClient client, int port, String path) throws Exception {
    ContentResponse response = client.GET("http://" + IPS.get(0) + ":" + port + path);
    return response.getStatus() == HttpStatus.SERVICE_UNAVAILABLE_503;
  }

  /** Returns whether streams are served once the nodes agreed on who orders the runner. */
  private static boolean serves(HttpClient client, int port) throws Exception {
    long end = MonotonicClock.SYSTEM.nowMillis() + SERVE_MILLIS;
    int served = 0;
    while (served < ROUNDS && MonotonicClock.SYSTEM.nowMillis() < end) {
      if (stream(client, port) == HttpStatus.OK_200) {
        served++;
      } else {
        TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
      }
    }
    return served == ROUNDS;
  }

  private static int stream(HttpClient client, int port) throws Exception {
    return client
        .newRequest("http://" + IPS.get(0) + ":" + port + SampleRecords.STREAM_PATH)
        .method(HttpMethod.POST)
        .headers(
            headers ->
                headers
                    .put("Host", SampleRecords.ROUTE_HOST)
                    .put(Headers.REQUEST_ID, SampleRecords.REQUEST_ID)
                    .put(Headers.DEADLINE, DEADLINE_MILLIS)
                    .put(Headers.MODEL, SampleRecords.ADAPTER)
                    .put(Headers.TOKEN_COUNTS, "100,20")
                    .put(Headers.PROMPT_PARTS, "aa:60,bb:40"))
        .body(new StringRequestContent("self-check"))
        .send()
        .getStatus();
  }

  private static HostSettings settings(String ip, List<Integer> ports) {
    return new HostSettings(
        "self-check-" + ip,
        "none",
        ip,
        ports.get(0),
        ports.get(1),
        ports.get(2),
        ports.get(3),
        ports.get(4),
        IPS,
        true,
        ip + ":" + ports.get(5),
        STOP_MILLIS,
        2_000,
        2_000,
        3_000,
        new RetryBudgetSettings(0.2, 50, 10_000),
        5_000,
        100,
        AllowanceSettings.DEFAULT);
  }
}
