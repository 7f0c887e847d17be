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
 * An engine: few slots, a continuous batch, loads that take time, a report that lags.
 *
 * <p>Each token names the adapter version that made it and its place in the answer, so that a
 * caller can check that an answer is whole and its own. Faults are switched by {@code POST
 * /faults}; {@code GET /counters} tells what happened, evictions under a running request among
 * them.
 */
public final class EngineStandin extends StandinServer {

  private static final int DEFAULT_TOKENS = 8;
  private static final long KEEP_ENDED_MILLIS = 60_000;
  private static final ScheduledExecutorService TIMER =
      Executors.newScheduledThreadPool(
          2,
          work -> {
            Thread thread = new Thread(work, "engine-timer");
            thread.setDaemon(true);
            return thread;
          });

  private final EngineOptions options;
  private final WeightStoreStandin weights;
  private final Map<String, EngineRequest> requests = new LinkedHashMap<>();
  private final Set<String> resident = new HashSet<>();
  private final Set<String> loading = new HashSet<>();
  private final AtomicLong starts = new AtomicLong();
  private final AtomicLong loads = new AtomicLong();
  private final AtomicLong evictions = new AtomicLong();
  private final AtomicLong evictedRunning = new AtomicLong();
  private final AtomicLong doubleStarts = new AtomicLong();
  private final EngineFaults faults = new EngineFaults();
  private ScheduledFuture<?> ticking;
  private ScheduledFuture<?> sampling;
  private long highestFencing;
  private boolean checksFencing;
  private Map<String, Object> sample = Map.of();
  private long sampledMillis;

  /** Creates an engine that loads from {@code weights}. */
  @SuppressWarnings("NullAway.Init") // the timers are set when the engine is started
  public EngineStandin(EngineOptions options, WeightStoreStandin weights) {
    super(options.port());
    this.options = options;
    this.weights = weights;
    this.checksFencing = options.checksFencing();
  }

  @Override
  void start() throws Exception {
    takeSample();
    super.start();
    ticking =
        TIMER.scheduleAtFixedRate(this::tick, 0, options.tokenMillis(), TimeUnit.MILLISECONDS);
    sampling =
        TIMER.scheduleAtFixedRate(
            this::takeSample, 0, options.reportMillis(), TimeUnit.MILLISECONDS);
  }

  @Override
  public void close() throws Exception {
    ticking.cancel(false);
    sampling.cancel(false);
    super.close();
  }

  @Override
  void handle(Exchange exchange) throws Exception {
    String path = exchange.path();
    if (path.equals("/faults")) {
      switchFaults(exchange);
    } else if (path.equals("/counters")) {
      exchange.answer(200, counters());
    } else if (faults.isDown()) {
      exchange.cut();
    } else if (path.equals("/v1/completions") || path.equals("/v1/chat/completions")) {
      begin(exchange, path.contains("chat"));
    } else if (path.equals("/v1/load")) {
      report(exchange);
    } else if (path.equals("/v1/load_lora_adapter")) {
      load(exchange);
    } else if (path.equals("/v1/unload_lora_adapter")) {
      unload(exchange);
    } else if (path.equals("/v1/role")) {
      if (passesFencing(exchange)) {
        exchange.answer(200, Map.of("role", "serve"));
      }
    } else if (path.startsWith("/v1/requests/")) {
      onRequest(exchange, path.substring("/v1/requests/".length()));
    } else {
      exchange.error(404, "no such path");
    }
  }

  /** Returns how many requests were started. */
  public long starts() {
    return starts.get();
  }

  /** Returns what happened so far. */
  synchronized Map<String, Object> counters() {
    Map<String, Object> counters = new LinkedHashMap<>();
    counters.put("runner", options.id());
    counters.put("starts", starts.get());
    counters.put("double_starts", doubleStarts.get());
    counters.put("loads", loads.get());
    counters.put("evictions", evictions.get());
    counters.put("evicted_running", evictedRunning.get());
    counters.put("resident", List.copyOf(resident));
    counters.put("active", requests.values().stream().filter(EngineRequest::isActive).count());
    return counters;
  }

  private void begin(Exchange exchange, boolean chat) throws IOException {
    JsonNode body = exchange.json();
    if (!passesFencing(exchange)) {
      return;
    }
    String id = exchange.header("X-Request-Id");
    String model = body.path("model").asText();
    int tokens = Math.max(1, body.path("max_tokens").asInt(DEFAULT_TOKENS));
    synchronized (this) {
      if (!resident.contains(model)) {
        exchange.error(404, "model '" + model + "' is not loaded");
        return;
      }
      if (requests.containsKey(id)) {
        doubleStarts.incrementAndGet();
        exchange.error(409, "request '" + id + "' is here already");
        return;
      }
      starts.incrementAndGet();
      boolean urgent = !exchange.header("X-Priority").equals("10");
      EngineRequest request = new EngineRequest(id, model, tokens, chat, urgent, faults);
      requests.put(id, request);
      request.attach(exchange, 0);
    }
  }

  private void onRequest(Exchange exchange, String rest) throws IOException {
    String id = rest.substring(0, Math.max(0, rest.indexOf('/')));
    synchronized (this) {
      EngineRequest request = requests.get(id);
      if (rest.endsWith("/cancel")) {
        if (request == null) {
          exchange.error(404, "no request '" + id + "'");
          return;
        }
        request.cancel();
        exchange.answer(200, Map.of("cancelled", true));
      } else if (request == null) {
        exchange.error(404, "no request '" + id + "'");
      } else {
        request.attach(exchange, Integer.parseInt(exchange.query("after", "0")));
      }
    }
  }

  private void load(Exchange exchange) throws IOException {
    String name = exchange.json().path("lora_name").asText();
    if (!passesFencing(exchange)) {
      return;
    }
    synchronized (this) {
      if (resident.contains(name)) {
        exchange.answer(200, Map.of("loaded", name));
        return;
      }
      if (resident.size() + loading.size() >= options.slots() || !loading.add(name)) {
        exchange.error(507, "no free slot");
        return;
      }
    }
    long millis = weights.begin(options.loadMillis());
    TIMER.schedule(() -> loaded(exchange, name), millis, TimeUnit.MILLISECONDS);
  }

  private void loaded(Exchange exchange, String name) {
    weights.end();
    boolean failed;
    boolean silent;
    synchronized (this) {
      boolean known = loading.remove(name);
      failed = faults.takeLoadFailure() || !known;
      silent = faults.takeSilentLoad();
      if (!failed) {
        resident.add(name);
        loads.incrementAndGet();
      }
    }
    try {
      if (silent) {
        exchange.cut();
      } else if (failed) {
        exchange.error(500, "the load failed");
      } else {
        exchange.answer(200, Map.of("loaded", name));
      }
    } catch (IOException e) {
      exchange.cut();
    }
  }

  private void unload(Exchange exchange) throws IOException {
    String name = exchange.json().path("lora_name").asText();
    if (!passesFencing(exchange)) {
      return;
    }
    synchronized (this) {
      resident.remove(name);
      evictions.incrementAndGet();
      for (EngineRequest request : requests.values()) {
        if (request.isActive() && request.model().equals(name)) {
          evictedRunning.incrementAndGet();
          request.breakOff();
        }
      }
    }
    exchange.answer(200, Map.of("unloaded", name));
  }

  private synchronized boolean passesFencing(Exchange exchange) throws IOException {
    String text = exchange.header("Sequoia-Fencing");
    if (!checksFencing || text.isEmpty()) {
      return true;
    }
    long number = Long.parseLong(text);
    if (number < highestFencing) {
      exchange.answer(412, Map.of("highest", highestFencing));
      return false;
    }
    highestFencing = number;
    return true;
  }

  private void report(Exchange exchange) throws IOException {
    Map<String, Object> report;
    synchronized (this) {
      report = new LinkedHashMap<>(sample);
      report.put("sample_age_ms", now() - sampledMillis);
    }
    exchange.answer(200, report);
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

  /** One step of the continuous batch: every running request gets a token. */
  private synchronized void tick() {
    if (faults.isFrozen()) {
      return;
    }
    long now = now();
    List<EngineRequest> active =
        new ArrayList<>(requests.values().stream().filter(EngineRequest::isActive).toList());
    long running = active.stream().filter(EngineRequest::isRunning).count();
    active.sort((a, b) -> Boolean.compare(b.isUrgent(), a.isUrgent()));
    for (EngineRequest request : active) {
      if (!request.isRunning() && running < options.batch()) {
        request.run(now + options.prefillMillis());
        running++;
      }
      request.step(now);
    }
    requests.values().removeIf(request -> request.endedBefore(now - KEEP_ENDED_MILLIS));
  }

  private void switchFaults(Exchange exchange) throws IOException {
    JsonNode wanted = exchange.json();
    synchronized (this) {
      faults.apply(wanted);
      if (wanted.has("checks_fencing")) {
        checksFencing = wanted.get("checks_fencing").booleanValue();
      }
      if (wanted.path("restart").booleanValue()) {
        requests.values().forEach(EngineRequest::breakOff);
        requests.clear();
        resident.clear();
        loading.clear();
        highestFencing = 0;
      }
      if (wanted.path("silence").booleanValue()) {
        requests.values().forEach(EngineRequest::silence);
      }
    }
    exchange.answer(200, new HashMap<>());
  }

  private static long now() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }
}
