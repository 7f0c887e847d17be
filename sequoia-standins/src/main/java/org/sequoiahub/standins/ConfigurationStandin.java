package org.sequoiahub.standins;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Simulates a configuration service whose records can be read and watched, and written through
 * {@code PUT /operator/KEY}.
 *
 * <p>As injected faults, it can be down, or serve an older revision as an outdated replica does.
 */
public final class ConfigurationStandin extends StandinServer {

  private static final long POLL_MILLIS = 20;
  private static final int MAX_VALUE_BYTES = 1 << 20;

  private final ScheduledExecutorService timer =
      Executors.newSingleThreadScheduledExecutor(
          work -> {
            Thread thread = new Thread(work, "configuration-timer");
            thread.setDaemon(true);
            return thread;
          });
  private final Map<String, StoredRecord> records = new TreeMap<>();
  private final List<Map<String, StoredRecord>> snapshots = new ArrayList<>();
  private final AtomicLong calls = new AtomicLong();
  private long revision;
  private boolean down;
  private long staleRevision;

  /** Creates a service without records on {@code port}. */
  public ConfigurationStandin(int port) {
    super(port);
  }

  @Override
  void handle(Exchange exchange) throws IOException {
    String path = exchange.path();
    if (path.startsWith("/operator/")) {
      handleWrite(exchange, path.substring("/operator/".length()));
    } else if (path.equals("/faults")) {
      JsonNode requested = exchange.json();
      synchronized (this) {
        down = requested.path("down").asBoolean(down);
        staleRevision = requested.path("stale_revision").asLong(staleRevision);
      }
      exchange.respond(200, Map.of());
    } else if (path.equals("/counters")) {
      exchange.respond(200, Map.of("calls", calls.get()));
    } else if (isDown()) {
      exchange.closeConnection();
    } else if (path.equals("/v1/records")) {
      calls.incrementAndGet();
      exchange.respond(200, listing(0, true));
    } else if (path.equals("/v1/watch")) {
      calls.incrementAndGet();
      long after = Long.parseLong(exchange.query("after", "0"));
      long wait = Long.parseLong(exchange.query("wait_ms", "0"));
      watch(exchange, after, System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(wait));
    } else {
      exchange.respondWithError(404, "no such path");
    }
  }

  /** Writes a record, or deletes it if the value is empty, and returns the new revision. */
  public synchronized long put(String key, byte[] value) {
    revision++;
    records.put(key, new StoredRecord(revision, value.length == 0, value));
    snapshots.add(new TreeMap<>(records));
    return revision;
  }

  @Override
  public void close() throws Exception {
    timer.shutdownNow();
    super.close();
  }

  private void handleWrite(Exchange exchange, String key) throws IOException {
    byte[] value = exchange.method().equals("DELETE") ? new byte[0] : exchange.body();
    if (value.length > MAX_VALUE_BYTES) {
      exchange.respondWithError(413, "value exceeds the limit of 1 MiB");
      return;
    }
    exchange.respond(200, Map.of("revision", put(key, value)));
  }

  /** Responds once the served revision differs from {@code after} or the deadline has passed. */
  private void watch(Exchange exchange, long after, long deadlineNanos) throws IOException {
    if (isDown()) {
      exchange.closeConnection();
    } else if (servedRevision() != after || System.nanoTime() >= deadlineNanos) {
      exchange.respond(200, listing(after, false));
    } else {
      timer.schedule(
          () -> {
            try {
              watch(exchange, after, deadlineNanos);
            } catch (IOException e) {
              exchange.closeConnection();
            }
          },
          POLL_MILLIS,
          TimeUnit.MILLISECONDS);
    }
  }

  private synchronized boolean isDown() {
    return down;
  }

  private synchronized long servedRevision() {
    return staleRevision > 0 ? Math.min(staleRevision, revision) : revision;
  }

  private synchronized byte[] listing(long after, boolean complete) throws IOException {
    long served = servedRevision();
    Map<String, StoredRecord> snapshot = served == 0 ? Map.of() : snapshots.get((int) served - 1);
    List<Map<String, Object>> items = new ArrayList<>();
    for (Map.Entry<String, StoredRecord> entry : snapshot.entrySet()) {
      StoredRecord stored = entry.getValue();
      if (stored.revision > after && !(complete && stored.deleted)) {
        Map<String, Object> item = new LinkedHashMap<>();
        item.put("key", entry.getKey());
        item.put("revision", stored.revision);
        item.put("deleted", stored.deleted);
        if (!stored.deleted) {
          item.put("value", MAPPER.readTree(stored.value));
        }
        items.add(item);
      }
    }
    Map<String, Object> listing = new LinkedHashMap<>();
    listing.put("revision", served);
    listing.put("complete", complete);
    listing.put("records", items);
    return MAPPER.writeValueAsBytes(listing);
  }

  @SuppressWarnings("ArrayRecordComponent") // never compared
  private record StoredRecord(long revision, boolean deleted, byte[] value) {}
}
