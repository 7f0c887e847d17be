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
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
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

/**
 * One run of the soak test: host processes, runners and a store on loopback, callers that send
 * requests, and faults drawn at random from a seed.
 */
final class Soak implements AutoCloseable {

  private static final int PORTS_PER_HOST = 5;
  private static final int RUNNERS_OF_EACH_KIND = 3;

  /** The software versions of the runners, in turn. */
  static final List<String> VERSIONS = List.of(StandinRunner.FIRST_VERSION, "v1.1");

  private static final int ADAPTERS_PER_RUNNER = 4;
  private static final int EVENTS_PER_STREAM = 12;
  private static final int EVENT_INTERVAL_MILLIS = 25;
  private static final int PLAIN_DURATION_MILLIS = 15;
  private static final long REQUEST_INTERVAL_MILLIS = 25;

  /** The longest time that a runner takes for a request while it is not suspended (ns). */
  private static final long LONGEST_WORK_NANOS =
      TimeUnit.MILLISECONDS.toNanos((long) EVENTS_PER_STREAM * EVENT_INTERVAL_MILLIS);

  /** How long each condition is awaited, such as the recovery after the last fault (ms). */
  private static final long RECOVERY_MILLIS = 20_000;

  /**
   * How many of the last {@link #RECOVERY_SAMPLE_REQUESTS} requests must succeed for the hosts to
   * count as recovered.
   */
  private static final int MIN_SERVED_AFTER_RECOVERY = 15;

  private static final int RECOVERY_SAMPLE_REQUESTS = 20;

  /** The accepted pause between two events of a stream in runs with suspensions (ms). */
  private static final int SHORT_GAP_MILLIS = 300;

  /** Idle times of callers' connections that configurations alternate in such runs (ms). */
  private static final List<Integer> IDLE_MILLIS = List.of(15_000, 1_000, 6_000);

  /** Timeouts of routes that configurations alternate: none is below the callers' deadline (ms). */
  private static final List<Integer> ROUTE_TIMEOUT_MILLIS = List.of(20_000, 4_000, 9_000);

  /** The time from which on a complete response counts as long (ns). */
  private static final long LONG_RESPONSE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_800);

  private final long seed;
  private final Random random;
  private final Path directory;
  private final StandinStore store = new StandinStore();
  private final HttpClient http = UpstreamClient.start();
  private final List<HostProcess> hosts = new ArrayList<>();
  private final List<FaultProxy> storeProxies = new ArrayList<>();
  private final List<FaultProxy> runnerProxies = new ArrayList<>();
  private final List<StandinRunner> runners = new ArrayList<>();
  private final Map<StandinRunner, FaultProxy> allRunners = new ConcurrentHashMap<>();
  private final SoakOptions options;
  private final ScheduledExecutorService scheduler = Executors.newScheduledThreadPool(4);
  private final List<Integer> ports;
  private final List<String> hostsKilledAtStop = new ArrayList<>();
  private long configurationVersion;
  private int nextRunnerNumber;

  /**
   * Creates a run.
   *
   * @param seed the seed of the random choice of faults and requests
   * @param hostCount the number of hosts, 3 or more
   * @param jar the host program
   * @param directory where log and settings files are written
   * @param options the faults beside those of every run
   */
  Soak(long seed, int hostCount, Path jar, Path directory, SoakOptions options) throws Exception {
    this.seed = seed;
    this.options = options;
    this.random = new Random(seed);
    this.directory = Files.createDirectories(directory);
    this.ports = FreePorts.find(PORTS_PER_HOST, new SecureRandom());
    writeConfiguration();
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
          new HostProcess(name, ip, jar, directory, first -> settingsText(name, ip, first, proxy)));
    }
  }

  private String ip(int number) {
    return "127." + (1 + Math.floorMod(seed, 200)) + ".0." + (1 + number);
  }

  private String settingsText(String name, String ip, boolean first, FaultProxy proxy) {
    List<String> seeds = List.of(ip(0), ip(1), ip(2));
    int grace = (int) TimeUnit.MILLISECONDS.toSeconds(HostProcess.GRACE_MILLIS);
    return StandinSettings.text(name, "z", ip, ports, seeds, first, proxy.address(), grace);
  }

  private synchronized void writeConfiguration() {
    configurationVersion++;
    List<String> routes = new ArrayList<>();
    routes.add(
        StandinConfiguration.route(RequestResult.Kind.PLAIN.prefix(), "safe", "plain", false));
    routes.add(
        StandinConfiguration.route(
            RequestResult.Kind.PLAIN_ONCE.prefix(), "unsafe", "plain", false));
    routes.add(
        StandinConfiguration.route(RequestResult.Kind.STREAM.prefix(), "streaming", "llm", true));
    routes.add(
        StandinConfiguration.route(
            RequestResult.Kind.STREAM_ONCE.prefix(), "streaming", "llm", false));
    String configuration = StandinConfiguration.configuration(configurationVersion, routes);
    store.put(
        StandinConfiguration.key(), options.suspensions() ? variant(configuration) : configuration);
  }

  /** Returns a configuration whose times depend on its version. */
  private String variant(String configuration) {
    int number = (int) (configurationVersion % IDLE_MILLIS.size());
    return configuration
        .replace("\"gapAimMs\":2000", "\"gapAimMs\":" + SHORT_GAP_MILLIS)
        .replace("\"timeoutMs\":20000", "\"timeoutMs\":" + ROUTE_TIMEOUT_MILLIS.get(number))
        .replace("\"idleTimeoutMs\":15000", "\"idleTimeoutMs\":" + IDLE_MILLIS.get(number));
  }

  private StandinRunner createRunner(String service, String model) throws Exception {
    int number = nextRunnerNumber++;
    StandinRunner runner =
        new StandinRunner("i-" + seed + "-" + number, service, model, ADAPTERS_PER_RUNNER);
    runner.version(VERSIONS.get(number % VERSIONS.size()));
    runner.streamEvents(EVENTS_PER_STREAM, EVENT_INTERVAL_MILLIS);
    runner.plainMillis(PLAIN_DURATION_MILLIS);
    return runner;
  }

  private void addRunner(String service, String model) throws Exception {
    StandinRunner runner = createRunner(service, model);
    FaultProxy proxy = new FaultProxy(runner.address());
    runners.add(runner);
    runnerProxies.add(proxy);
    allRunners.put(runner, proxy);
    publishRunner(runners.size() - 1, "ready");
  }

  private void publishRunner(int index, String state) {
    StandinRunner runner = runners.get(index);
    store.put(
        StoreKeys.RUNNER_PREFIX + runner.id(),
        runner.entry(state, runnerProxies.get(index).address()));
  }

  /**
   * Runs the test.
   *
   * @param faultMillis how long faults are injected (ms)
   * @return a description of each violated guarantee; empty if all of them held
   */
  List<String> run(long faultMillis) throws Exception {
    for (HostProcess host : hosts) {
      host.start();
    }
    await(this::isEveryHostReady);
    Callers callers =
        new Callers(http, hosts, ports.get(0), new Random(random.nextLong()), "s" + seed);
    scheduler.scheduleAtFixedRate(callers::send, 0, REQUEST_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    FaultInjector faults = new FaultInjector(this, random, new Random(~seed), scheduler);
    SuspensionInjector suspensions = new SuspensionInjector(this, suspensionRandom(), scheduler);
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(faultMillis);
    while (System.nanoTime() < end) {
      faults.injectNext();
      if (options.suspensions()) {
        suspensions.injectNext();
      }
      TimeUnit.MILLISECONDS.sleep(50 + random.nextInt(900));
    }
    faults.undoAll();
    boolean recovered = await(this::isEveryHostReady);
    final boolean servingAgain = recovered && await(() -> isServingAgain(callers));
    scheduler.shutdown();
    await(() -> callers.inProgress() == 0);
    Map<String, HostProcess> hostsByName = new HashMap<>();
    hosts.forEach(host -> hostsByName.put(host.name(), host));
    List<String> violations =
        new ArrayList<>(
            new GuaranteeChecker(allRunners, hostsByName, EVENTS_PER_STREAM, LONGEST_WORK_NANOS)
                .violations(List.copyOf(callers.results())));
    if (!servingAgain) {
      violations.add("requests are not served again after the last fault: see the host logs");
    }
    hostsKilledAtStop.forEach(
        name -> violations.add(name + " did not stop within the grace period and was killed"));
    Map<String, Integer> outcomes = new TreeMap<>();
    callers.results().forEach(request -> outcomes.merge(request.outcome(), 1, Integer::sum));
    long longResponses = callers.results().stream().filter(Soak::isLongResponse).count();
    System.out.printf(
        "event=soak seed=%d requests=%d good=%d long=%d faults=%d suspensions=%d broken=%d"
            + " outcomes=\"%s\"%n",
        seed,
        callers.results().size(),
        outcomes.getOrDefault("200", 0),
        longResponses,
        faults.count(),
        allRunners.keySet().stream().mapToInt(runner -> runner.suspensions().size()).sum(),
        violations.size(),
        outcomes);
    return violations;
  }

  /** Returns whether a response was completed although its runners were silent for long. */
  private static boolean isLongResponse(RequestResult request) {
    return request.status() == 200
        && request.endedNanos() - request.sentNanos() > LONG_RESPONSE_NANOS;
  }

  /** Draws the suspensions, so that a seed draws the same other faults with or without them. */
  private Random suspensionRandom() {
    return new Random(new SplittableRandom(seed).nextLong());
  }

  private boolean isServingAgain(Callers callers) {
    List<RequestResult> all = List.copyOf(callers.results());
    List<RequestResult> sample =
        all.subList(Math.max(0, all.size() - RECOVERY_SAMPLE_REQUESTS), all.size());
    return sample.stream().filter(request -> request.status() == 200).count()
        >= MIN_SERVED_AFTER_RECOVERY;
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
      // The process does not accept connections yet; the caller polls again.
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

  int runnerCount() {
    return runners.size();
  }

  StandinRunner runner(int index) {
    return runners.get(index);
  }

  /** Lets a runner leave that states it in its responses only, and replaces it. */
  void leaveByResponses(int index) throws Exception {
    runners.get(index).stateLeaving();
    TimeUnit.SECONDS.sleep(2);
    replaceRunner(index, false);
  }

  /** Rewrites the configuration with the same routes under a new version. */
  void rewriteConfiguration() {
    writeConfiguration();
  }

  /** Records that a host did not stop within the grace period and was killed. */
  synchronized void recordKilledAtStop(HostProcess host) {
    hostsKilledAtStop.add(host.name());
  }

  /**
   * Replaces a runner by a new one at the same address.
   *
   * @param index the index of the runner
   * @param announced whether the old runner is published as draining before its record is deleted
   */
  void replaceRunner(int index, boolean announced) throws Exception {
    StandinRunner old = runners.get(index);
    if (announced) {
      publishRunner(index, "draining");
      TimeUnit.SECONDS.sleep(2);
    }
    store.delete(StoreKeys.RUNNER_PREFIX + old.id());
    StandinRunner replacement =
        createRunner(index % 2 == 0 ? "plain" : "llm", index % 2 == 0 ? "" : "m");
    allRunners.put(replacement, runnerProxies.get(index));
    runners.set(index, replacement);
    runnerProxies.get(index).target(replacement.address());
    runnerProxies.get(index).resetConnections();
    publishRunner(index, "ready");
  }

  @Override
  public void close() throws Exception {
    scheduler.shutdownNow();
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
    for (StandinRunner runner : allRunners.keySet()) {
      runner.close();
    }
    try {
      store.close();
    } catch (IOException e) {
      // A watch request that is still waiting is interrupted, which loses no data.
    }
  }
}
