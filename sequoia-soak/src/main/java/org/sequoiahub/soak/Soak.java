package org.sequoiahub.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.eclipse.jetty.client.CompletableResponseListener;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.jspecify.annotations.Nullable;
import org.sequoiahub.node.upstream.UpstreamClient;
import org.sequoiahub.runtime.port.FreePorts;
import org.sequoiahub.usersplatform.AddressProtocol;
import org.sequoiahub.usersplatform.Headers;
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

  /** The interval of the burst beside them in runs with short deadlines (ms). */
  private static final long SHORT_REQUEST_INTERVAL_MILLIS = 1;

  /** The kinds of requests in such runs: mostly of the kind that must not run twice. */
  private static final List<RequestResult.Kind> SHORT_DEADLINE_KINDS =
      List.of(
          RequestResult.Kind.PLAIN_ONCE,
          RequestResult.Kind.PLAIN_ONCE,
          RequestResult.Kind.PLAIN_ONCE,
          RequestResult.Kind.PLAIN_ONCE,
          RequestResult.Kind.PLAIN_ONCE,
          RequestResult.Kind.PLAIN_ONCE,
          RequestResult.Kind.STREAM_ONCE,
          RequestResult.Kind.PLAIN);

  /** The deadlines of requests in such runs (ms). */
  private static final int MIN_SHORT_DEADLINE_MILLIS = 60;

  private static final int MAX_SHORT_DEADLINE_MILLIS = 700;

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

  /** How many versions back a configuration has the route that was new in each of them. */
  private static final int MARKED_VERSIONS = 40;

  /** The number of writes that the store loses in the restore after the last fault. */
  private static final int LOST_WRITES = 4;

  /** The time in which all hosts see a change while nothing else happens (ms). */
  private static final long CALM_MILLIS = 2_000;

  /** How long a runner that leaves by its entry is still there (ms). */
  private static final long LEAVING_MILLIS = 6_000;

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
  private final Map<String, Long> writtenNanos = new ConcurrentHashMap<>();
  private final Interruptions storeOutages = new Interruptions();
  private @Nullable Long storeDownSinceNanos;
  private final ChangeChecker changes = new ChangeChecker();
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
    for (long version = configurationVersion;
        options.restores() && version > configurationVersion - MARKED_VERSIONS;
        version--) {
      routes.add(StandinConfiguration.route(markPrefix(version), "safe", "plain", false));
    }
    String configuration = StandinConfiguration.configuration(configurationVersion, routes);
    write(
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
    if (options.shortDeadlines()) {
      runner.closeConnectionsAfterResponses();
    }
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
    write(
        StoreKeys.RUNNER_PREFIX + runner.id(),
        runner.entry(state, runnerProxies.get(index).address()));
  }

  private synchronized void write(String key, String json) {
    writtenNanos.put(key, System.nanoTime());
    store.put(key, json);
  }

  private synchronized void delete(String key) {
    writtenNanos.put(key, System.nanoTime());
    store.delete(key);
  }

  /** Brings the store back from an older copy, and returns what it lost. */
  synchronized List<StandinStore.LostWrite> restoreStore(StandinStore.Copy copy) {
    long now = System.nanoTime();
    storeOutages.add(now, now);
    return store.restore(copy);
  }

  /** Makes a write again that the store lost, unless its key was written after {@code nanos}. */
  synchronized void rewrite(StandinStore.LostWrite lost, long nanos) {
    Long written = writtenNanos.get(lost.key());
    if (written == null || written - nanos <= 0) {
      store.rewrite(lost);
    }
  }

  /** Sets whether the store refuses all calls. */
  synchronized void setStoreDown(boolean down) {
    Long since = storeDownSinceNanos;
    if (down && since == null) {
      storeDownSinceNanos = System.nanoTime();
    }
    if (!down && since != null) {
      storeOutages.add(since, System.nanoTime());
      storeDownSinceNanos = null;
    }
    store.setDown(down);
  }

  /** Returns the prefix of a route that configurations have from a version on. */
  private static String markPrefix(long version) {
    return "/version-" + version + "/";
  }

  /**
   * Writes a configuration with a new route, and has each host asked for it at the end of the time
   * in which changes come into force.
   */
  synchronized void writeMarkedConfiguration() {
    writeConfiguration();
    long version = configurationVersion;
    long acknowledgedNanos = System.nanoTime();
    scheduler.schedule(
        () -> hosts.forEach(host -> askForMark(host, version, acknowledgedNanos)),
        ChangeChecker.BOUND_NANOS,
        TimeUnit.NANOSECONDS);
  }

  /**
   * Restores the store once all hosts are in touch with it, and changes the configuration and a
   * runner at revisions that the hosts have seen before.
   */
  private void restoreWithoutOtherFaults() throws InterruptedException {
    TimeUnit.NANOSECONDS.sleep(HostProcess.CATCH_UP_NANOS);
    StandinStore.Copy copy = store.copy();
    for (int number = 0; number < LOST_WRITES; number++) {
      writeConfiguration();
    }
    TimeUnit.MILLISECONDS.sleep(CALM_MILLIS);
    restoreStore(copy);
    writeMarkedConfiguration();
    leaveByEntry(0);
    TimeUnit.MILLISECONDS.sleep(LEAVING_MILLIS + CALM_MILLIS);
  }

  private void askForMark(HostProcess host, long version, long acknowledgedNanos) {
    Request request =
        http.newRequest("http://" + host.ip() + ":" + ports.get(0))
            .path(markPrefix(version) + "x")
            .timeout(Callers.DEADLINE_MILLIS, TimeUnit.MILLISECONDS)
            .headers(
                headers ->
                    headers
                        .put("Host", "h.example")
                        .put(Headers.REQUEST_ID, "mark-" + version + "-" + host.name())
                        .put(Headers.DEADLINE, Long.toString(Callers.DEADLINE_MILLIS)));
    new CompletableResponseListener(request)
        .send()
        .whenComplete(
            (response, failure) -> {
              if (failure == null && response != null) {
                changes.addAnswer(
                    new ChangeChecker.Answer(
                        host.name(),
                        version,
                        acknowledgedNanos,
                        System.nanoTime(),
                        response.getStatus()));
              }
            });
  }

  /** Lets a runner leave by its entry in the store, and replaces it some seconds later. */
  void leaveByEntry(int index) {
    StandinRunner runner = runners.get(index);
    publishRunner(index, "draining");
    changes.addLeaving(new ChangeChecker.Leaving(runner, System.nanoTime()));
    scheduler.schedule(
        () -> {
          try {
            if (runners.get(index) == runner) {
              replaceRunner(index, false);
            }
          } catch (Exception e) {
            System.out.println("event=fault-failed why=\"" + e + "\"");
          }
        },
        LEAVING_MILLIS,
        TimeUnit.MILLISECONDS);
  }

  /** Returns whether a host was cut off from the store, or did not run, between two times. */
  private boolean isHostImpaired(String name, long fromNanos, long untilNanos) {
    for (int number = 0; number < hosts.size(); number++) {
      HostProcess host = hosts.get(number);
      if (host.name().equals(name)) {
        return host.outages().anyBetween(fromNanos, untilNanos)
            || storeProxies.get(number).interruptions().anyBetween(fromNanos, untilNanos)
            || storeOutages.anyBetween(fromNanos, untilNanos);
      }
    }
    return false;
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
        new Callers(
            http,
            hosts,
            ports.get(0),
            new Random(random.nextLong()),
            "s" + seed,
            options.shortDeadlines() ? SHORT_DEADLINE_KINDS : List.of(RequestResult.Kind.values()),
            deadlines(new Random(~seed << 16)));
    scheduler.scheduleAtFixedRate(callers::send, 0, REQUEST_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    final Optional<ScheduledFuture<?>> burst =
        options.shortDeadlines()
            ? Optional.of(
                scheduler.scheduleAtFixedRate(
                    callers::send, 0, SHORT_REQUEST_INTERVAL_MILLIS, TimeUnit.MILLISECONDS))
            : Optional.empty();
    HostPauses pauses = new HostPauses(hosts, new Random(~seed << 24), scheduler);
    if (options.shortDeadlines()) {
      pauses.start();
    }
    FaultInjector faults = new FaultInjector(this, random, new Random(~seed), scheduler);
    RestoreInjector restores = new RestoreInjector(this, new Random(~seed << 8), scheduler);
    SuspensionInjector suspensions = new SuspensionInjector(this, suspensionRandom(), scheduler);
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(faultMillis);
    while (System.nanoTime() < end) {
      faults.injectNext();
      if (options.restores()) {
        restores.injectNext();
      }
      if (options.suspensions()) {
        suspensions.injectNext();
      }
      TimeUnit.MILLISECONDS.sleep(50 + random.nextInt(900));
    }
    pauses.stop();
    burst.ifPresent(requests -> requests.cancel(false));
    faults.undoAll();
    boolean recovered = await(this::isEveryHostReady);
    final boolean servingAgain = recovered && await(() -> isServingAgain(callers));
    if (options.restores()) {
      restoreWithoutOtherFaults();
    }
    scheduler.shutdown();
    await(() -> callers.inProgress() == 0);
    Map<String, HostProcess> hostsByName = new HashMap<>();
    hosts.forEach(host -> hostsByName.put(host.name(), host));
    List<String> violations =
        new ArrayList<>(
            new GuaranteeChecker(allRunners, hostsByName, EVENTS_PER_STREAM, LONGEST_WORK_NANOS)
                .violations(List.copyOf(callers.results())));
    violations.addAll(changes.violations(callers.results(), this::isHostImpaired));
    if (!servingAgain) {
      violations.add("requests are not served again after the last fault: see the host logs");
    }
    hostsKilledAtStop.forEach(
        name -> violations.add(name + " did not stop within the grace period and was killed"));
    Map<String, Integer> outcomes = new TreeMap<>();
    callers.results().forEach(request -> outcomes.merge(request.outcome(), 1, Integer::sum));
    long longResponses = callers.results().stream().filter(Soak::isLongResponse).count();
    System.out.printf(
        "event=soak seed=%d requests=%d good=%d long=%d faults=%d suspensions=%d restores=%d"
            + " marks=%d broken=%d"
            + " outcomes=\"%s\"%n",
        seed,
        callers.results().size(),
        outcomes.getOrDefault("200", 0),
        longResponses,
        faults.count(),
        allRunners.keySet().stream().mapToInt(runner -> runner.suspensions().size()).sum(),
        store.era() - 1,
        changes.judgedAnswers(this::isHostImpaired),
        violations.size(),
        outcomes);
    return violations;
  }

  private LongSupplier deadlines(Random deadlineRandom) {
    return options.shortDeadlines()
        ? () ->
            MIN_SHORT_DEADLINE_MILLIS
                + deadlineRandom.nextInt(MAX_SHORT_DEADLINE_MILLIS - MIN_SHORT_DEADLINE_MILLIS)
        : () -> Callers.DEADLINE_MILLIS;
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
    delete(StoreKeys.RUNNER_PREFIX + old.id());
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
