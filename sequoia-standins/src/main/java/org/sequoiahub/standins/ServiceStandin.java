package org.sequoiahub.standins;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.Map;
import java.util.TreeMap;

/**
 * Simulates an upstream of a booking service whose POST must not be repeated.
 *
 * <p>It counts how often each booking ran.
 */
public final class ServiceStandin extends StandinServer {

  private final String id;
  private final Map<String, Integer> bookings = new TreeMap<>();
  private int responsesToDrop;
  private long delayMillis;

  /** Creates an upstream on {@code port}. */
  public ServiceStandin(String id, int port) {
    super(port);
    this.id = id;
  }

  @Override
  void handle(Exchange exchange) throws IOException {
    if (exchange.path().equals("/faults")) {
      JsonNode requested = exchange.json();
      synchronized (this) {
        responsesToDrop = requested.path("drop_answers").asInt(responsesToDrop);
        delayMillis = requested.path("slow_ms").asLong(delayMillis);
      }
      exchange.respond(200, Map.of());
    } else if (exchange.path().equals("/counters")) {
      exchange.respond(200, counters());
    } else if (exchange.method().equals("POST")) {
      book(exchange);
    } else {
      exchange.respond(200, Map.of("upstream", id, "path", exchange.path()));
    }
  }

  private void book(Exchange exchange) throws IOException {
    String booking = exchange.json().path("booking").asText("none");
    int times;
    boolean dropResponse;
    long delay;
    synchronized (this) {
      times = bookings.merge(booking, 1, Integer::sum);
      dropResponse = responsesToDrop > 0 && responsesToDrop-- > 0;
      delay = delayMillis;
    }
    if (delay > 0) {
      try {
        Thread.sleep(delay);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
    if (dropResponse) {
      exchange.closeConnection();
    } else {
      exchange.respond(201, Map.of("booking", booking, "times", times, "upstream", id));
    }
  }

  private synchronized Map<String, Object> counters() {
    long doubled = bookings.values().stream().filter(times -> times > 1).count();
    return Map.of("upstream", id, "bookings", bookings.size(), "doubled", doubled);
  }
}
