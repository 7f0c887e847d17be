package org.sequoiahub.node;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.BooleanSupplier;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.sequoiahub.core.allowance.AllowanceSettings;
import org.sequoiahub.core.retry.RetryBudgetSettings;
import org.sequoiahub.node.upstream.RunnerAddressResolver;
import org.sequoiahub.node.upstream.UpstreamClient;
import org.sequoiahub.runtime.duty.MonotonicClock;
import org.sequoiahub.runtime.port.FreePorts;
import org.sequoiahub.schema.settings.NodeSettings;
import org.sequoiahub.usersplatform.AddressProtocol;
import org.sequoiahub.usersplatform.Headers;
import org.sequoiahub.usersplatform.HostSettings;
import org.sequoiahub.usersplatform.standin.StandinConfiguration;
import org.sequoiahub.usersplatform.standin.StandinRunner;
import org.sequoiahub.usersplatform.standin.StandinStore;

/** Complete nodes on loopback addresses with a stand-in store and stand-in runners. */
final class LoopbackFleet implements AutoCloseable {

  /**
   * Time after which an awaited condition fails the test (ms): long, as it only ends a hanging
   * test.
   */
  private static final long TIMEOUT_MILLIS = 60_000;

  private static final int SHUTDOWN_MILLIS = 400;

  private static final int PORT_COUNT = 6;

  /** Time after which a connect shows that a port's queue is full (ms). */
  private static final int FILL_TIMEOUT_MILLIS = 200;

  final StandinStore store;
  final HttpClient caller;
  private final List<StandinRunner> runners = new CopyOnWriteArrayList<>();
  private final List<HttpClient> callers = new ArrayList<>();
  private final List<Node> nodes = new ArrayList<>();
  private final List<Integer> ports;
  private final Map<Integer, RunnerAddressResolver> cuts = new ConcurrentHashMap<>();
  private final List<ServerSocket> silentSockets = new ArrayList<>();
  private final List<Socket> fillers = new ArrayList<>();
  private long configurationVersion;

  /** How long runners that are started from now on take to load an adapter (ms); 0 for default. */
  private volatile int loadMillis;

  /** The time from the stop of a node that is started from now on until it ends (ms). */
  private volatile int shutdownMillis = SHUTDOWN_MILLIS;

  LoopbackFleet() throws Exception {
    store = new StandinStore();
    caller = UpstreamClient.start();
    ports = FreePorts.find(PORT_COUNT, new SecureRandom());
  }

  static String ip(int number) {
    return "127.0.0." + (20 + number);
  }

  /** Starts the node of host {@code number}; its seeds are hosts 1 and 2. */
  Node startNode(int number) throws Exception {
    return startNode(number, List.of(ip(1), ip(2)));
  }

  private Node startNode(int number, List<String> seeds) throws Exception {
    Node node =
        Node.start(
            NodeSettings.newBuilder().setAddressTtlMs(1_000).setMetricsPort(ports.get(5)).build(),
            settings(number, seeds),
            address -> cuts.getOrDefault(number, RunnerAddressResolver.DIRECT).resolve(address),
            MonotonicClock.SYSTEM.nowMillis());
    nodes.add(node);
    return node;
  }

  /** Returns the settings of host {@code number}. */
  HostSettings settings(int number, List<String> seeds) {
    return new HostSettings(
        "host-" + number,
        "z",
        ip(number),
        ports.get(0),
        ports.get(1),
        ports.get(2),
        ports.get(3),
        ports.get(4),
        seeds,
        true,
        store.address(),
        shutdownMillis,
        2_000,
        2_000,
        3_000,
        new RetryBudgetSettings(0.2, 50, 10_000),
        5_000,
        100,
        AllowanceSettings.DEFAULT);
  }

  /** Starts host 1 as the only host of its deployment and waits until it is ready. */
  Node startOnlyNode() throws Exception {
    Node node = startNode(1, List.of(ip(1)));
    await("the only host to be ready", () -> isReady(1));
    return node;
  }

  /** Sets the time from the stop of a node that is started from now on until it ends. */
  void shutdownMillis(int millis) {
    shutdownMillis = millis;
  }

  /** How a host's new connections to runners fail; those that are open live on. */
  enum Cut {
    REFUSED,
    SILENT
  }

  /** Cuts a host's links to all runners. */
  void cutFromRunners(int number, Cut cut) throws IOException {
    InetSocketAddress nowhere = cut == Cut.REFUSED ? closedPort() : silentPort();
    cuts.put(number, address -> nowhere);
  }

  /** Cuts a host's link to one runner. */
  void cutFromRunner(int number, StandinRunner runner, Cut cut) throws IOException {
    InetSocketAddress nowhere = cut == Cut.REFUSED ? closedPort() : silentPort();
    int port = Integer.parseInt(runner.address().substring(runner.address().lastIndexOf(':') + 1));
    cuts.put(number, address -> address.getPort() == port ? nowhere : address);
  }

  /** Restores a host's links to the runners. */
  void restoreLinks(int number) {
    cuts.remove(number);
  }

  private static InetSocketAddress closedPort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return (InetSocketAddress) socket.getLocalSocketAddress();
    }
  }

  /** Returns the address of a port whose queue of connections is full, so that connects hang. */
  private InetSocketAddress silentPort() throws IOException {
    ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    silentSockets.add(socket);
    InetSocketAddress address = (InetSocketAddress) socket.getLocalSocketAddress();
    for (boolean full = false; !full; ) {
      Socket filler = new Socket();
      fillers.add(filler);
      try {
        filler.connect(address, FILL_TIMEOUT_MILLIS);
      } catch (SocketTimeoutException e) {
        full = true;
      }
    }
    return address;
  }

  /** Starts hosts 1 to {@code count} and waits until all are ready. */
  void startNodes(int count) throws Exception {
    for (int number = 1; number <= count; number++) {
      startNode(number);
    }
    for (int number = 1; number <= count; number++) {
      int host = number;
      await("host " + host + " to be ready", () -> isReady(host));
    }
  }

  /** Sets how long runners that are started from now on take to load an adapter. */
  void loadMillis(int millis) {
    loadMillis = millis;
  }

  StandinRunner startRunner(String id, String service, String model) throws Exception {
    return startRunner(id, service, model, StandinRunner.FIRST_VERSION);
  }

  /** Starts a runner whose software has a version. */
  StandinRunner startRunner(String id, String service, String model, String version)
      throws Exception {
    StandinRunner runner = new StandinRunner(id, service, model, 4);
    runner.version(version);
    if (loadMillis > 0) {
      runner.loadMillis(loadMillis);
    }
    runners.add(runner);
    publish(runner, "ready");
    return runner;
  }

  /**
   * Starts a runner that terminates when it runs a request whose body contains {@code text}. Its
   * entry is then removed and another runner of the same behavior is started in its place.
   */
  void startRunnerTerminatedByRequest(String id, String service, String model, String text)
      throws Exception {
    startRunner(id, service, model)
        .terminateOnRequest(
            text,
            terminated ->
                replace(
                    terminated,
                    next -> startRunnerTerminatedByRequest(next, service, model, text)));
  }

  /**
   * Starts a runner that terminates when it runs a request whose prompt has a part. Its entry is
   * then removed and another runner of the same behavior is started in its place.
   *
   * @param events the number of events that it sends before
   */
  void startRunnerTerminatedByPart(String id, String service, String model, String part, int events)
      throws Exception {
    startRunner(id, service, model)
        .terminateOnPart(
            part,
            events,
            terminated ->
                replace(
                    terminated,
                    next -> startRunnerTerminatedByPart(next, service, model, part, events)));
  }

  /**
   * Starts a runner that terminates when it is ordered to load {@code adapter}. Its entry is then
   * removed and another runner of the same behavior is started in its place.
   */
  void startRunnerTerminatedByLoad(String id, String service, String model, String adapter)
      throws Exception {
    startRunner(id, service, model)
        .terminateOnLoad(
            adapter,
            terminated ->
                replace(
                    terminated,
                    next -> startRunnerTerminatedByLoad(next, service, model, adapter)));
  }

  /** Starts a runner with the given id. */
  @FunctionalInterface
  private interface Starter {
    void start(String id) throws Exception;
  }

  private void replace(StandinRunner terminated, Starter starter) {
    store.delete("servers/" + terminated.id());
    try {
      starter.start(terminated.id() + "n");
    } catch (Exception e) {
      throw new IllegalStateException("could not start a runner in place of " + terminated.id(), e);
    }
  }

  /**
   * Makes all runners lose the responses to requests whose body contains {@code text}; none if it
   * is empty.
   */
  void loseResponsesTo(String text) {
    runners.forEach(runner -> runner.loseResponsesTo(text));
  }

  /** Returns whether any runner has accepted an order. */
  boolean isAnyOrderAccepted() {
    return runners.stream().anyMatch(runner -> !runner.acceptedOrders().isEmpty());
  }

  /** Returns how many runners have terminated. */
  long terminatedRunnerCount() {
    return runners.stream().filter(StandinRunner::hasTerminated).count();
  }

  /** Returns the number of runs, at all runners, of requests whose id starts with a prefix. */
  long runCount(String idPrefix) {
    return runners.stream()
        .flatMap(runner -> runner.runs().entrySet().stream())
        .filter(run -> run.getKey().startsWith(idPrefix))
        .mapToLong(run -> run.getValue().get())
        .sum();
  }

  /**
   * Returns how often the request that ran most often ran, of those whose id starts with a prefix.
   */
  int maxRunCount(String idPrefix) {
    Map<String, Integer> counts = new HashMap<>();
    for (StandinRunner runner : runners) {
      runner.runs().forEach((id, count) -> counts.merge(id, count.get(), Integer::sum));
    }
    return counts.entrySet().stream()
        .filter(run -> run.getKey().startsWith(idPrefix))
        .mapToInt(Map.Entry::getValue)
        .max()
        .orElse(0);
  }

  void publish(StandinRunner runner, String state) {
    store.put("servers/" + runner.id(), runner.entry(state));
  }

  /** Writes the next version of the configuration; {@code routes} are JSON objects. */
  void configure(String... routes) {
    store.put(
        StandinConfiguration.key(),
        StandinConfiguration.configuration(++configurationVersion, List.of(routes)));
  }

  /** Writes the next version of the configuration with workspaces, so that requests need keys. */
  void configure(List<String> routes, List<String> workspaces) {
    store.put(
        StandinConfiguration.key(),
        StandinConfiguration.configuration(++configurationVersion, routes, workspaces));
  }

  static String route(String prefix, String kind, String service, boolean resumable) {
    return StandinConfiguration.route(prefix, kind, service, resumable);
  }

  /** Starts an HTTP client of callers with another local address. */
  HttpClient startCallerAt(String ip) throws Exception {
    HttpClient other = UpstreamClient.start();
    other.setBindAddress(new InetSocketAddress(ip, 0));
    callers.add(other);
    return other;
  }

  /** Returns a request from {@link #caller} to host {@code number}. */
  Request request(int number, String path, String id) {
    return request(caller, number, path, id);
  }

  /** Returns a request from the given caller to host {@code number}. */
  Request request(HttpClient from, int number, String path, String id) {
    return from.newRequest("http://" + ip(number) + ":" + ports.get(0))
        .path(path)
        .headers(
            headers ->
                headers
                    .put("Host", "h.example")
                    .put(Headers.REQUEST_ID, id)
                    .put(Headers.DEADLINE, "20000"));
  }

  boolean isReady(int number) {
    return status("http://" + ip(number) + ":" + ports.get(1) + AddressProtocol.READINESS_PATH)
        == 200;
  }

  String advertisedAddresses(int number) throws Exception {
    ContentResponse response =
        caller.GET("http://" + ip(number) + ":" + ports.get(2) + AddressProtocol.ADDRESS_PATH);
    return response.getContentAsString();
  }

  /** Returns the value of a metric of host {@code number}; 0 if it has none of this name. */
  double metric(int number, String name) {
    try {
      String metrics =
          caller.GET("http://" + ip(number) + ":" + ports.get(5) + "/metrics").getContentAsString();
      return metrics
          .lines()
          .filter(line -> line.startsWith(name + " "))
          .mapToDouble(line -> Double.parseDouble(line.substring(name.length() + 1)))
          .sum();
    } catch (Exception e) {
      throw new IllegalStateException("could not read the metrics of host " + number, e);
    }
  }

  int callerPort() {
    return ports.get(0);
  }

  private int status(String uri) {
    try {
      return caller.GET(uri).getStatus();
    } catch (Exception e) {
      return 0;
    }
  }

  static void await(String description, BooleanSupplier condition) throws InterruptedException {
    long end = System.nanoTime() + TIMEOUT_MILLIS * 1_000_000;
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > end) {
        throw new AssertionError("timed out waiting for " + description);
      }
      Thread.sleep(10);
    }
  }

  @Override
  public void close() throws Exception {
    for (Node node : nodes) {
      node.stop();
    }
    caller.stop();
    for (HttpClient other : callers) {
      other.stop();
    }
    for (StandinRunner runner : runners) {
      runner.close();
    }
    for (Socket filler : fillers) {
      filler.close();
    }
    for (ServerSocket socket : silentSockets) {
      socket.close();
    }
    try {
      store.close();
    } catch (IOException e) {
      // A pending watch was interrupted; no data is lost.
    }
  }
}
