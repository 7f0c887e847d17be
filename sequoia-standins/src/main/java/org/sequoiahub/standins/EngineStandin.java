package org.sequoiahub.standins;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Simulates an inference engine with a limited number of adapter slots, continuous batching, loads
 * that take time and a load report that is sampled and therefore outdated.
 *
 * <p>Each token contains the adapter version that generated it and its position, so that a caller
 * can verify that a response is complete and from the requested adapter. Faults are injected by
 * {@code POST /faults}; {@code GET /counters} returns event counts, including evictions of an
 * adapter that a running request uses.
 */
public final class EngineStandin extends StandinServer {

  private static final int DEFAULT_TOKENS = 8;
  private static final long ENDED_RETENTION_MILLIS = 60_000;
  private static final ScheduledExecutorService TIMER =
      Executors.newScheduledThreadPool(
          2,
          work -> {
            Thread thread = new Thread(work, "engine-timer");
            thread.setDaemon(true);
            return thread;
          });

  private final EngineOptions options;
  private final WeightStoreStandin weightStore;
  private final Map<String, EngineRequest> requests = new LinkedHashMap<>();
  private final Set<String> resident = new HashSet<>();
  private final Set<String> loading = new HashSet<>();
  private final AtomicLong startCount = new AtomicLong();
  private final AtomicLong loadCount = new AtomicLong();
  private final AtomicLong evictionCount = new AtomicLong();
  private final AtomicLong evictedRunningCount = new AtomicLong();
  private final AtomicLong duplicateStartCount = new AtomicLong();
  private final EngineFaults faults = new EngineFaults();
  private ScheduledFuture<?> tickTask;
  private ScheduledFuture<?> sampleTask;
  private long highestFencing;
  private boolean checksFencing;
  private Map<String, Object> sample = Map.of();
  private long sampledMillis;

  /** Creates an engine that loads adapters from {@code weightStore}. */
  @SuppressWarnings("NullAway.Init") // start() sets the timer tasks
  public EngineStandin(EngineOptions options, WeightStoreStandin weightStore) {
    super(options.port());
    this.options = options;
    this.weightStore = weightStore;
    this.checksFencing = options.checksFencing();
  }

  @Override
  void start() throws Exception {
    takeSample();
    super.start();
    tickTask =
        TIMER.scheduleAtFixedRate(
            this::tick, 0, options.tokenIntervalMillis(), TimeUnit.MILLISECONDS);
    sampleTask =
        TIMER.scheduleAtFixedRate(
            this::takeSample, 0, options.sampleIntervalMillis(), TimeUnit.MILLISECONDS);
  }

  @Override
  public void close() throws Exception {
    tickTask.cancel(false);
    sampleTask.cancel(false);
    super.close();
  }

  @Override
  void handle(Exchange exchange) throws Exception {
    String path = exchange.path();
    if (path.equals("/faults")) {
      applyFaults(exchange);
    } else if (path.equals("/counters")) {
      exchange.respond(200, counters());
    } else if (faults.isDown()) {
      exchange.closeConnection();
    } else if (path.equals("/v1/completions") || path.equals("/v1/chat/completions")) {
      startCompletion(exchange, path.contains("chat"));
    } else if (path.equals("/v1/load")) {
      sendLoadReport(exchange);
    } else if (path.equals("/v1/load_lora_adapter")) {
      loadAdapter(exchange);
    } else if (path.equals("/v1/unload_lora_adapter")) {
      unloadAdapter(exchange);
    } else if (path.equals("/v1/role")) {
      if (checkFencing(exchange)) {
        exchange.respond(200, Map.of("role", "serve"));
      }
    } else if (path.startsWith("/v1/requests/")) {
      resumeOrCancel(exchange, path.substring("/v1/requests/".length()));
    } else {
      exchange.respondWithError(404, "no such path");
    }
  }

  /** Returns the number of requests that were started. */
  public long startCount() {
    return startCount.get();
  }

  /** Returns the event counts and the current state, by name. */
  synchronized Map<String, Object> counters() {
    Map<String, Object> counters = new LinkedHashMap<>();
    counters.put("runner", options.id());
    counters.put("starts", startCount.get());
    counters.put("double_starts", duplicateStartCount.get());
    counters.put("loads", loadCount.get());
    counters.put("evictions", evictionCount.get());
    counters.put("evicted_running", evictedRunningCount.get());
    counters.put("resident", List.copyOf(resident));
    counters.put("active", requests.values().stream().filter(EngineRequest::isActive).count());
    return counters;
  }

  private void startCompletion(Exchange exchange, boolean chat) throws IOException {
    JsonNode body = exchange.json();
    if (!checkFencing(exchange)) {
      return;
    }
    String id = exchange.header("X-Request-Id");
    String model = body.path("model").asText();
    int tokens = Math.max(1, body.path("max_tokens").asInt(DEFAULT_TOKENS));
    synchronized (this) {
      if (!resident.contains(model)) {
        exchange.respondWithError(404, "model '" + model + "' is not loaded");
        return;
      }
      if (requests.containsKey(id)) {
        duplicateStartCount.incrementAndGet();
        exchange.respondWithError(409, "request '" + id + "' already exists");
        return;
      }
      startCount.incrementAndGet();
      boolean highPriority = !exchange.header("X-Priority").equals("10");
      EngineRequest request = new EngineRequest(id, model, tokens, chat, highPriority, faults);
      requests.put(id, request);
      request.attachReader(exchange, 0);
    }
  }

  private void resumeOrCancel(Exchange exchange, String rest) throws IOException {
    String id = rest.substring(0, Math.max(0, rest.indexOf('/')));
    synchronized (this) {
      EngineRequest request = requests.get(id);
      if (rest.endsWith("/cancel")) {
        if (request == null) {
          exchange.respondWithError(404, "unknown request '" + id + "'");
          return;
        }
        request.cancel();
        exchange.respond(200, Map.of("cancelled", true));
      } else if (request == null) {
        exchange.respondWithError(404, "unknown request '" + id + "'");
      } else {
        request.attachReader(exchange, Integer.parseInt(exchange.query("after", "0")));
      }
    }
  }

  private void loadAdapter(Exchange exchange) throws IOException {
    String name = exchange.json().path("lora_name").asText();
    if (!checkFencing(exchange)) {
      return;
    }
    synchronized (this) {
      if (resident.contains(name)) {
        exchange.respond(200, Map.of("loaded", name));
        return;
      }
      if (resident.size() + loading.size() >= options.slots() || !loading.add(name)) {
        exchange.respondWithError(507, "no free slot, or the adapter is already loading");
        return;
      }
    }
    long millis = weightStore.beginLoad(options.loadMillis());
    TIMER.schedule(() -> finishLoad(exchange, name), millis, TimeUnit.MILLISECONDS);
  }

  private void finishLoad(Exchange exchange, String name) {
    weightStore.endLoad();
    boolean failed;
    boolean silent;
    synchronized (this) {
      boolean wasLoading = loading.remove(name);
      failed = faults.consumeLoadFailure() || !wasLoading;
      silent = faults.consumeSilentLoad();
      if (!failed) {
        resident.add(name);
        loadCount.incrementAndGet();
      }
    }
    try {
      if (silent) {
        exchange.closeConnection();
      } else if (failed) {
        exchange.respondWithError(500, "adapter load failed");
      } else {
        exchange.respond(200, Map.of("loaded", name));
      }
    } catch (IOException e) {
      exchange.closeConnection();
    }
  }

  private void unloadAdapter(Exchange exchange) throws IOException {
    String name = exchange.json().path("lora_name").asText();
    if (!checkFencing(exchange)) {
      return;
    }
    synchronized (this) {
      resident.remove(name);
      evictionCount.incrementAndGet();
      for (EngineRequest request : requests.values()) {
        if (request.isActive() && request.model().equals(name)) {
          evictedRunningCount.incrementAndGet();
          request.abort();
        }
      }
    }
    exchange.respond(200, Map.of("unloaded", name));
  }

  /**
   * Returns whether the fencing number of a request is current or absent. If it is lower than the
   * highest one seen, responds with 412 and returns {@code false}.
   */
  private synchronized boolean checkFencing(Exchange exchange) throws IOException {
    String text = exchange.header("Sequoia-Fencing");
    if (!checksFencing || text.isEmpty()) {
      return true;
    }
    long number = Long.parseLong(text);
    if (number < highestFencing) {
      exchange.respond(412, Map.of("highest", highestFencing));
      return false;
    }
    highestFencing = number;
    return true;
  }

  private void sendLoadReport(Exchange exchange) throws IOException {
    Map<String, Object> report;
    synchronized (this) {
      report = new LinkedHashMap<>(sample);
      report.put("sample_age_ms", now() - sampledMillis);
    }
    exchange.respond(200, report);
  }

  private synchronized void takeSample() {
    List<Map<String, String>> active = new ArrayList<>();
    for (EngineRequest request : requests.values()) {
      if (request.isActive()) {
        active.add(Map.of("id", request.id(), "model", request.model()));
      }
    }
    sample =
        Map.of(
            "resident", List.copyOf(resident), "loading", List.copyOf(loading), "active", active);
    sampledMillis = now();
  }

  /**
   * Advances the continuous batch by one step: fills free places, high-priority requests first, and
   * generates the tokens that are due.
   */
  private synchronized void tick() {
    if (faults.isFrozen()) {
      return;
    }
    long now = now();
    List<EngineRequest> active =
        new ArrayList<>(requests.values().stream().filter(EngineRequest::isActive).toList());
    long running = active.stream().filter(EngineRequest::isRunning).count();
    active.sort((a, b) -> Boolean.compare(b.isHighPriority(), a.isHighPriority()));
    for (EngineRequest request : active) {
      if (!request.isRunning() && running < options.batchSize()) {
        request.start(now + options.prefillMillis());
        running++;
      }
      request.generateTokenIfDue(now);
    }
    requests.values().removeIf(request -> request.endedBefore(now - ENDED_RETENTION_MILLIS));
  }

  private void applyFaults(Exchange exchange) throws IOException {
    JsonNode requested = exchange.json();
    synchronized (this) {
      faults.apply(requested);
      if (requested.has("checks_fencing")) {
        checksFencing = requested.get("checks_fencing").booleanValue();
      }
      if (requested.path("restart").booleanValue()) {
        requests.values().forEach(EngineRequest::abort);
        requests.clear();
        resident.clear();
        loading.clear();
        highestFencing = 0;
      }
      if (requested.path("silence").booleanValue()) {
        requests.values().forEach(EngineRequest::detachReaders);
      }
    }
    exchange.respond(200, new HashMap<>());
  }

  private static long now() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }
}
