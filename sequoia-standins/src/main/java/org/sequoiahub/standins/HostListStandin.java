package org.sequoiahub.standins;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Serves a host list whose changes become visible to readers after a fixed delay. */
public final class HostListStandin extends StandinServer {

  private final long lagMillis;
  private final Deque<Version> versions = new ArrayDeque<>();
  private ObjectNode latest = MAPPER.createObjectNode();
  private long revision;

  /** Creates an empty list on {@code port} whose changes become visible after {@code lagMillis}. */
  public HostListStandin(int port, long lagMillis) {
    super(port);
    this.lagMillis = lagMillis;
    for (String kind : new String[] {"hosts", "runners", "upstreams"}) {
      latest.putArray(kind);
    }
    publish();
  }

  @Override
  void handle(Exchange exchange) throws IOException {
    if (exchange.path().equals("/v1/hosts")) {
      exchange.respond(200, visibleJson());
    } else if (exchange.path().startsWith("/operator/state/")) {
      String id = exchange.path().substring("/operator/state/".length());
      setState(id, exchange.query("state", "leaving"));
      exchange.respond(200, Map.of());
    } else {
      exchange.respondWithError(404, "no such path");
    }
  }

  /**
   * Adds an item to the list.
   *
   * @param kind {@code hosts}, {@code runners} or {@code upstreams}
   */
  synchronized void add(String kind, ObjectNode item) {
    ((ArrayNode) latest.get(kind)).add(item);
    publish();
  }

  /** Sets the state of every item with this id; the state {@code gone} removes it. */
  synchronized void setState(String id, String state) {
    for (JsonNode kind : latest) {
      if (kind instanceof ArrayNode items) {
        for (int i = items.size() - 1; i >= 0; i--) {
          if (items.get(i).path("id").asText().equals(id)) {
            if (state.equals("gone")) {
              items.remove(i);
            } else {
              ((ObjectNode) items.get(i)).put("state", state);
            }
          }
        }
      }
    }
    publish();
  }

  private synchronized void publish() {
    revision++;
    ObjectNode copy = latest.deepCopy();
    copy.put("revision", revision);
    versions.add(new Version(copy.toString(), now() + (revision <= 1 ? 0 : lagMillis)));
    latest = copy.deepCopy();
  }

  private synchronized byte[] visibleJson() {
    while (versions.size() > 1 && isNextVersionVisible()) {
      versions.removeFirst();
    }
    return versions.getFirst().json.getBytes(UTF_8);
  }

  private boolean isNextVersionVisible() {
    return versions.stream()
        .skip(1)
        .findFirst()
        .filter(v -> v.visibleFromMillis <= now())
        .isPresent();
  }

  private static long now() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }

  private record Version(String json, long visibleFromMillis) {}
}
