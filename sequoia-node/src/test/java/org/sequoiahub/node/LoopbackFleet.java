package org.sequoiahub.node;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.BooleanSupplier;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.sequoiahub.core.allowance.AllowanceSettings;
import org.sequoiahub.core.retry.RetryBudgetSettings;
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

/** Whole nodes on loopback addresses before a stand-in store and stand-in runners. */
final class LoopbackFleet implements AutoCloseable {

  /** Nothing here is judged by the clock; this only ends a test that hangs. */
  private static final long PATIENCE_MILLIS = 60_000;

  private static final int STOP_MILLIS = 400;

  private static final int PORTS = 5;

  final StandinStore store;
  final HttpClient caller;
  private final List<StandinRunner> runners = new CopyOnWriteArrayList<>();
  private final List<HttpClient> callers = new ArrayList<>();
  private final List<Node> nodes = new ArrayList<>();
  private final List<Integer> ports;
  private long version;

  LoopbackFleet() throws Exception {
    store = new StandinStore();
    caller = UpstreamClient.start();
    ports = FreePorts.find(PORTS, new SecureRandom());
  }

  static String ip(int number) {
    return "127.0.0." + (20 + number);
  }

  /** Starts host {@code number}; its seeds are hosts 1 and 2. */
  Node startNode(int number) throws Exception {
    HostSettings settings =
        new HostSettings(
            "host-" + number,
            "z",
            ip(number),
            ports.get(0),
            ports.get(1),
            ports.get(2),
            ports.get(3),
            ports.get(4),
            List.of(ip(1), ip(2)),
            true,
            store.address(),
            STOP_MILLIS,
            2_000,
            2_000,
            3_000,
            new RetryBudgetSettings(0.2, 50, 10_000),
            5_000,
            100,
            AllowanceSettings.DEFAULT);
    Node node =
        Node.start(
            NodeSettings.newBuilder().setAddressTtlMs(1_000).build(),
            settings,
            MonotonicClock.SYSTEM.nowMillis());
    nodes.add(node);
    return node;
  }

  /** Starts hosts 1 to {@code count} and waits until all are ready. */
  void startNodes(int count) throws Exception {
    for (int number = 1; number <= count; number++) {
      startNode(number);
    }
    for (int number = 1; number <= count; number++) {
      int host = number;
      await("host " + host + " ready", () -> isReady(host));
    }
  }

  StandinRunner startRunner(String id, String service, String model) throws Exception {
    StandinRunner runner = new StandinRunner(id, service, model, 4);
    runners.add(runner);
    publish(runner, "ready");
    return runner;
  }

  /**
   * Starts a runner that ends under each request whose body holds {@code text}. Its entry is then
   * removed and another runner started in its place, which does the same.
   */
  void startMortalRunner(String id, String service, String model, String text) throws Exception {
    startRunner(id, service, model)
        .terminateOnRequest(
            text, ended -> replace(ended, next -> startMortalRunner(next, service, model, text)));
  }

  /** The same with a runner that ends whenever it is ordered to load an adapter. */
  void startRunnerThatCannotLoad(String id, String service, String model, String adapter)
      throws Exception {
    startRunner(id, service, model)
        .terminateOnLoad(
            adapter,
            ended ->
                replace(ended, next -> startRunnerThatCannotLoad(next, service, model, adapter)));
  }

  /** Starts a runner with the id that it is given. */
  @FunctionalInterface
  private interface Starter {
    void start(String id) throws Exception;
  }

  private void replace(StandinRunner ended, Starter starter) {
    store.delete("servers/" + ended.id());
    try {
      starter.start(ended.id() + "n");
    } catch (Exception e) {
      throw new IllegalStateException("no runner in place of " + ended.id(), e);
    }
  }

  /** All runners lose the answers of requests whose body holds {@code text}; of none if empty. */
  void loseAnswersOf(String text) {
    runners.forEach(runner -> runner.loseResponsesTo(text));
  }

  /** Returns how many runners have ended. */
  long endedRunners() {
    return runners.stream().filter(StandinRunner::hasTerminated).count();
  }

  /** Returns how often requests ran whose ids begin so, at all runners. */
  long runs(String idPrefix) {
    return runners.stream()
        .flatMap(runner -> runner.runs().entrySet().stream())
        .filter(run -> run.getKey().startsWith(idPrefix))
        .mapToLong(run -> run.getValue().get())
        .sum();
  }

  void publish(StandinRunner runner, String state) {
    store.put("servers/" + runner.id(), runner.entry(state));
  }

  /** Writes the next configuration; {@code routes} are JSON objects. */
  void configure(String... routes) {
    store.put(
        StandinConfiguration.key(), StandinConfiguration.configuration(++version, List.of(routes)));
  }

  /** Writes the next configuration with workspaces, so that requests need keys. */
  void configure(List<String> routes, List<String> workspaces) {
    store.put(
        StandinConfiguration.key(),
        StandinConfiguration.configuration(++version, routes, workspaces));
  }

  static String route(String prefix, String kind, String service, boolean resumable) {
    return StandinConfiguration.route(prefix, kind, service, resumable);
  }

  /** Returns a client of callers that come from another address. */
  HttpClient callerFrom(String ip) throws Exception {
    HttpClient other = UpstreamClient.start();
    other.setBindAddress(new InetSocketAddress(ip, 0));
    callers.add(other);
    return other;
  }

  /** Returns a request of a caller to host {@code number}. */
  Request request(int number, String path, String id) {
    return request(caller, number, path, id);
  }

  /** Returns a request of a certain caller to host {@code number}. */
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

  String addresses(int number) throws Exception {
    ContentResponse response =
        caller.GET("http://" + ip(number) + ":" + ports.get(2) + AddressProtocol.ADDRESS_PATH);
    return response.getContentAsString();
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

  static void await(String what, BooleanSupplier condition) throws InterruptedException {
    long end = System.nanoTime() + PATIENCE_MILLIS * 1_000_000;
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > end) {
        throw new AssertionError("never came: " + what);
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
    try {
      store.close();
    } catch (IOException e) {
      // A watch that still waits is cut; nothing is lost with it.
    }
  }
}
