package org.sequoiahub.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.eclipse.jetty.client.HttpClient;
import org.sequoiahub.node.upstream.UpstreamClient;
import org.sequoiahub.runtime.port.FreePorts;
import org.sequoiahub.usersplatform.AddressProtocol;
import org.sequoiahub.usersplatform.StoreKeys;
import org.sequoiahub.usersplatform.standin.StandinConfiguration;
import org.sequoiahub.usersplatform.standin.StandinRunner;
import org.sequoiahub.usersplatform.standin.StandinSettings;
import org.sequoiahub.usersplatform.standin.StandinStore;

/** One run: hosts, runners and a store on loopback, callers, and faults drawn from a seed. */
final class Soak implements AutoCloseable {

  private static final int PORTS = 5;
  private static final int RUNNERS_OF_EACH_KIND = 3;
  private static final int PLACES = 4;
  private static final int EVENTS = 12;
  private static final int EVENT_MILLIS = 25;
  private static final int PLAIN_MILLIS = 15;
  private static final long REQUEST_MILLIS = 25;

  /** How long all may take to serve again once nothing is harmed any more (ms). */
  private static final long RECOVERY_MILLIS = 20_000;

  /** Requests that must be served after the recovery, out of {@link #LAST_REQUESTS}. */
  private static final int SERVED_AT_LAST = 15;

  private static final int LAST_REQUESTS = 20;

  private final long seed;
  private final Random random;
  private final Path directory;
  private final StandinStore store = new StandinStore();
  private final HttpClient http = UpstreamClient.start();
  private final List<HostProcess> hosts = new ArrayList<>();
  private final List<FaultProxy> storeProxies = new ArrayList<>();
  private final List<FaultProxy> runnerProxies = new ArrayList<>();
  private final List<StandinRunner> runners = new ArrayList<>();
  private final List<StandinRunner> everyRunner = new ArrayList<>();
  private final ScheduledExecutorService later = Executors.newScheduledThreadPool(4);
  private final List<Integer> ports;
  private final List<String> killedAtStop = new ArrayList<>();
  private long configuration;
  private int runnerNumber;

  /**
   * Creates a run.
   *
   * @param jar the host's program
   * @param directory where logs and settings go
   */
  Soak(long seed, int hostCount, Path jar, Path directory) throws Exception {
    this.seed = seed;
    this.random = new Random(seed);
    this.directory = Files.createDirectories(directory);
    this.ports = FreePorts.find(PORTS, new SecureRandom());
    configure();
    for (int i = 0; i < RUNNERS_OF_EACH_KIND; i++) {
      addRunner("plain", "");
      addRunner("llm", "m");
    }
    for (int number = 0; number < hostCount; number++) {
      FaultProxy proxy = new FaultProxy(store.address());
      storeProxies.add(proxy);
      String name = "host-" + number;
      String ip = ip(number);
      hosts.add(
          new HostProcess(name, ip, jar, directory, first -> settings(name, ip, first, proxy)));
    }
  }

  private String ip(int number) {
    return "127." + (1 + Math.floorMod(seed, 200)) + ".0." + (1 + number);
  }

  private String settings(String name, String ip, boolean first, FaultProxy proxy) {
    List<String> seeds = List.of(ip(0), ip(1), ip(2));
    int grace = (int) TimeUnit.MILLISECONDS.toSeconds(HostProcess.GRACE_MILLIS);
    return StandinSettings.text(name, "z", ip, ports, seeds, first, proxy.address(), grace);
  }

  private void configure() {
    List<String> routes = new ArrayList<>();
    routes.add(StandinConfiguration.route(Asked.Kind.PLAIN.prefix(), "safe", "plain", false));
    routes.add(
        StandinConfiguration.route(Asked.Kind.PLAIN_ONCE.prefix(), "unsafe", "plain", false));
    routes.add(StandinConfiguration.route(Asked.Kind.STREAM.prefix(), "streaming", "llm", true));
    routes.add(
        StandinConfiguration.route(Asked.Kind.STREAM_ONCE.prefix(), "streaming", "llm", false));
    store.put(
        StandinConfiguration.key(), StandinConfiguration.configuration(++configuration, routes));
  }

  private StandinRunner runner(String service, String model) throws Exception {
    StandinRunner runner =
        new StandinRunner("i-" + seed + "-" + runnerNumber++, service, model, PLACES);
    runner.streamEvents(EVENTS, EVENT_MILLIS);
    runner.plainMillis(PLAIN_MILLIS);
    everyRunner.add(runner);
    return runner;
  }

  private void addRunner(String service, String model) throws Exception {
    StandinRunner runner = runner(service, model);
    runners.add(runner);
    runnerProxies.add(new FaultProxy(runner.address()));
    publish(runners.size() - 1, "ready");
  }

  private void publish(int index, String state) {
    StandinRunner runner = runners.get(index);
    store.put(
        StoreKeys.RUNNER_PREFIX + runner.id(),
        runner.entry(state, runnerProxies.get(index).address()));
  }

  /** Plays the run and returns what was broken, a line each. */
  List<String> play(long faultMillis) throws Exception {
    for (HostProcess host : hosts) {
      host.start();
    }
    await(this::isEveryHostReady);
    Callers callers =
        new Callers(http, hosts, ports.get(0), new Random(random.nextLong()), "s" + seed);
    later.scheduleAtFixedRate(callers::send, 0, REQUEST_MILLIS, TimeUnit.MILLISECONDS);
    Faults faults = new Faults(this, random, later);
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(faultMillis);
    while (System.nanoTime() < end) {
      faults.next();
      TimeUnit.MILLISECONDS.sleep(50 + random.nextInt(900));
    }
    faults.undoAll();
    boolean recovered = await(this::isEveryHostReady);
    final boolean served = recovered && await(() -> isServed(callers));
    later.shutdown();
    await(() -> callers.open() == 0);
    Map<String, HostProcess> byName = new HashMap<>();
    hosts.forEach(host -> byName.put(host.name(), host));
    List<String> broken =
        new ArrayList<>(
            new Promises(everyRunner, byName, EVENTS).broken(List.copyOf(callers.asked())));
    if (!served) {
      broken.add("requests are not served again after the last fault");
    }
    killedAtStop.forEach(name -> broken.add(name + " was still there after the grace time"));
    long good = callers.asked().stream().filter(request -> request.status() == 200).count();
    System.out.printf(
        "event=soak seed=%d requests=%d good=%d faults=%d broken=%d%n",
        seed, callers.asked().size(), good, faults.count(), broken.size());
    return broken;
  }

  private boolean isServed(Callers callers) {
    List<Asked> all = List.copyOf(callers.asked());
    List<Asked> last = all.subList(Math.max(0, all.size() - LAST_REQUESTS), all.size());
    return last.stream().filter(request -> request.status() == 200).count() >= SERVED_AT_LAST;
  }

  private boolean isEveryHostReady() {
    return hosts.stream().allMatch(this::isReady);
  }

  private boolean isReady(HostProcess host) {
    String uri = "http://" + host.ip() + ":" + ports.get(1) + AddressProtocol.READINESS_PATH;
    try {
      return http.newRequest(uri).timeout(1, TimeUnit.SECONDS).send().getStatus() == 200;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    } catch (Exception e) {
      // The process is not up yet: asked again.
      return false;
    }
  }

  private static boolean await(BooleanSupplier condition) throws InterruptedException {
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(RECOVERY_MILLIS);
    while (System.nanoTime() < end) {
      if (condition.getAsBoolean()) {
        return true;
      }
      TimeUnit.MILLISECONDS.sleep(100);
    }
    return false;
  }

  List<HostProcess> hosts() {
    return hosts;
  }

  List<FaultProxy> storeProxies() {
    return storeProxies;
  }

  List<FaultProxy> runnerProxies() {
    return runnerProxies;
  }

  StandinStore store() {
    return store;
  }

  /** Writes the configuration again under a new version. */
  void changeConfiguration() {
    configure();
  }

  /** Notes that a process did not end by itself when asked to. */
  synchronized void killedAtStop(HostProcess host) {
    killedAtStop.add(host.name());
  }

  /** Replaces a runner by a new one at its address; it tells before if it is asked to leave. */
  void replaceRunner(int index, boolean announced) throws Exception {
    StandinRunner old = runners.get(index);
    if (announced) {
      publish(index, "draining");
      TimeUnit.SECONDS.sleep(2);
    }
    store.delete(StoreKeys.RUNNER_PREFIX + old.id());
    StandinRunner fresh = runner(index % 2 == 0 ? "plain" : "llm", index % 2 == 0 ? "" : "m");
    runners.set(index, fresh);
    runnerProxies.get(index).target(fresh.address());
    runnerProxies.get(index).reset();
    publish(index, "ready");
  }

  @Override
  public void close() throws Exception {
    later.shutdownNow();
    for (HostProcess host : hosts) {
      host.close();
    }
    http.stop();
    for (FaultProxy proxy : storeProxies) {
      proxy.close();
    }
    for (FaultProxy proxy : runnerProxies) {
      proxy.close();
    }
    for (StandinRunner runner : everyRunner) {
      runner.close();
    }
    try {
      store.close();
    } catch (IOException e) {
      // A watch that still waits is cut; nothing is lost with it.
    }
  }
}
