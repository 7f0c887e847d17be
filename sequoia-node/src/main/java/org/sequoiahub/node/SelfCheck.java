package org.sequoiahub.node;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
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
import org.sequoiahub.schema.peer.Digest;
import org.sequoiahub.schema.peer.HostState;
import org.sequoiahub.schema.peer.HostWord;
import org.sequoiahub.schema.peer.PeerDatagram;
import org.sequoiahub.schema.settings.NodeSettings;
import org.sequoiahub.usersplatform.AddressProtocol;
import org.sequoiahub.usersplatform.Headers;
import org.sequoiahub.usersplatform.HostSettings;
import org.sequoiahub.usersplatform.SampleRecords;

/**
 * Starts two complete nodes on loopback addresses, sends one of them the requests of callers and of
 * the platform, has it load an adapter into a sample runner and serve streams from there, and stops
 * both nodes.
 *
 * <p>The build runs the self-check to record the classes that a process needs. With the resulting
 * archive, a restarted process spends its first seconds on requests instead of on loading classes.
 * Therefore the self-check also covers the code of requests, orders and messages between hosts.
 */
final class SelfCheck {

  private static final int PORT_COUNT = 6;
  private static final int ROUNDS = 20;
  private static final long SHUTDOWN_MILLIS = 500;
  private static final List<String> IPS = List.of("127.0.0.1", "127.0.0.2");

  /** Time in which the nodes must discover each other, gain the runner's lease and serve (ms). */
  private static final long SERVE_TIMEOUT_MILLIS = 60_000;

  private static final long RETRY_INTERVAL_MILLIS = 100;
  private static final int DEADLINE_MILLIS = 3_000;

  /** The position of the port for datagrams among the ports. */
  private static final int DATAGRAM_PORT_INDEX = 4;

  /** The hosts whose datagrams are simulated: with them the fleet has delegates. */
  private static final int SIMULATED_HOSTS = 20;

  private static final int SIMULATED_DOMAINS = 3;
  private static final int FLEET_ROUNDS = 12;
  private static final int FLEET_ROUND_MILLIS = 100;

  private static final NodeSettings FALLBACK_SETTINGS =
      NodeSettings.newBuilder().setAddressTtlMs(1_000).build();

  private SelfCheck() {}

  /** Runs the self-check and returns the exit code of the process. */
  static int run() throws Exception {
    LineFormatter.install(Level.INFO);
    NodeSettings nodeSettings =
        new SettingsLoader<>("sequoia-node", "self-check", NodeSettings.getDefaultInstance())
            .load(new String[0], Map.of())
            .fold(settings -> settings, problems -> FALLBACK_SETTINGS, text -> FALLBACK_SETTINGS);
    List<Integer> ports = FreePorts.find(PORT_COUNT, new SecureRandom());
    HttpClient client = UpstreamClient.start();
    boolean passed;
    try (SampleRunner runner = new SampleRunner()) {
      List<Node> nodes = new ArrayList<>();
      for (String ip : IPS) {
        nodes.add(Node.start(nodeSettings, settings(ip, ports), MonotonicClock.SYSTEM.nowMillis()));
      }
      passed = isUnavailableWithoutRecords(client, ports);
      nodes.get(0).applyRecords(SampleRecords.records(runner.address()));
      passed &= servesStreams(client, ports.get(0));
      simulateLargeFleet(ports.get(DATAGRAM_PORT_INDEX));
      nodes.get(0).logResources();
      for (Node node : nodes) {
        node.stop();
      }
    }
    client.stop();
    System.out.println(passed ? "self-check passed" : "self-check failed");
    return passed ? 0 : 1;
  }

  private static boolean isUnavailableWithoutRecords(HttpClient client, List<Integer> ports)
      throws Exception {
    boolean unavailable = true;
    for (int round = 0; round < ROUNDS; round++) {
      unavailable &= isUnavailable(client, ports.get(1), AddressProtocol.READINESS_PATH);
      unavailable &= isUnavailable(client, ports.get(2), AddressProtocol.ADDRESS_PATH);
      unavailable &= requestStream(client, ports.get(0)) == HttpStatus.SERVICE_UNAVAILABLE_503;
    }
    return unavailable;
  }

  private static boolean isUnavailable(HttpClient client, int port, String path) throws Exception {
    ContentResponse response = client.GET("http://" + IPS.get(0) + ":" + port + path);
    return response.getStatus() == HttpStatus.SERVICE_UNAVAILABLE_503;
  }

  /** Returns whether streams are served once one of the nodes holds the runner's lease. */
  private static boolean servesStreams(HttpClient client, int port) throws Exception {
    long end = MonotonicClock.SYSTEM.nowMillis() + SERVE_TIMEOUT_MILLIS;
    int served = 0;
    while (served < ROUNDS && MonotonicClock.SYSTEM.nowMillis() < end) {
      if (requestStream(client, port) == HttpStatus.OK_200) {
        served++;
      } else {
        TimeUnit.MILLISECONDS.sleep(RETRY_INTERVAL_MILLIS);
      }
    }
    return served == ROUNDS;
  }

  /**
   * Sends the nodes what they would receive from the other hosts of a large fleet, so that the code
   * of delegates and of standby hosts is covered.
   */
  private static void simulateLargeFleet(int port) throws Exception {
    try (DatagramChannel channel = DatagramChannel.open()) {
      for (int round = 1; round <= FLEET_ROUNDS; round++) {
        for (int number = 0; number < SIMULATED_HOSTS; number++) {
          PeerDatagram.Builder datagram =
              PeerDatagram.newBuilder().setHost("simulated-" + number).setNumber(round);
          HostState.Builder state =
              HostState.newBuilder()
                  .setIp("127.0.1." + number)
                  .setFailureDomain("simulated-" + number % SIMULATED_DOMAINS)
                  .setReady(true)
                  .setAsksCommittee(true);
          Digest.Builder digest =
              Digest.newBuilder()
                  .setGroup(number == 0 ? "" : "simulated")
                  .addWords(
                      HostWord.newBuilder()
                          .setHost("simulated-" + number)
                          .setNumber(round)
                          .setState(state))
                  .addAlive(number)
                  .addAliveAgesMs(1)
                  .setLoadsTold(true);
          for (String ip : IPS) {
            send(channel, datagram.setState(state), ip, port);
            send(channel, datagram.setDigest(digest), ip, port);
          }
        }
        TimeUnit.MILLISECONDS.sleep(FLEET_ROUND_MILLIS);
      }
    }
  }

  private static void send(
      DatagramChannel channel, PeerDatagram.Builder datagram, String ip, int port)
      throws IOException {
    channel.send(ByteBuffer.wrap(datagram.build().toByteArray()), new InetSocketAddress(ip, port));
  }

  private static int requestStream(HttpClient client, int port) throws Exception {
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
        SHUTDOWN_MILLIS,
        2_000,
        2_000,
        3_000,
        new RetryBudgetSettings(0.2, 50, 10_000),
        5_000,
        100,
        AllowanceSettings.DEFAULT);
  }
}
