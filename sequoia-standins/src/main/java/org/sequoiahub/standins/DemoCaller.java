package org.sequoiahub.standins;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.StringRequestContent;

/** Sends the demo's calls, verifies every response and prints the results. */
final class DemoCaller {

  private static final String TRACE_ID = "4bf92f3577b34da6a3ce929d0e0e4736";
  private static final int TOKENS = 6;
  private static final int READY_ATTEMPTS = 200;
  private static final long READY_PAUSE_MILLIS = 100;

  private final HttpClient http;
  private final PrintStream out;
  private int wrongCount;

  DemoCaller(HttpClient http, PrintStream out) {
    this.http = http;
    this.out = out;
  }

  /** Waits until the process with this administration address reports that it is ready. */
  void awaitReady(String admin) throws Exception {
    for (int i = 0; i < READY_ATTEMPTS; i++) {
      try {
        if (http.GET("http://" + admin + "/readyz").getStatus() == 200) {
          return;
        }
      } catch (ExecutionException e) {
        // The process does not listen yet.
      }
      Thread.sleep(READY_PAUSE_MILLIS);
    }
    throw new IOException(admin + " did not become ready; check the log of its process");
  }

  /**
   * Sends every call to the address that {@code entry} returns.
   *
   * @return the number of failed checks
   */
  int run(String entry, int adapters, List<Path> logs) throws Exception {
    JsonNode address = json(http.GET("http://" + entry + "/v1/address?operations=1"));
    out.println("address response: " + address);
    String target = address.path("address").asText();
    for (int i = 1; i <= adapters; i++) {
      String name = "adapter-" + i;
      checkInference(target, name + "@1", i % 2 == 0, i == 1);
      if (i % 2 == 0) {
        checkInference(target, name + "@2", i % 4 == 0, false);
        checkInference(target, name, false, false);
      }
    }
    checkBooking(target, address.path("operation_ids").get(0).asText());
    checkRefusals(target);
    Thread.sleep(500);
    printSpans(logs);
    return wrongCount;
  }

  private void checkInference(String target, String model, boolean stream, boolean traced)
      throws Exception {
    String body =
        String.format(
            Locale.ROOT,
            "{\"model\":\"%s\",\"prompt\":\"demo\",\"max_tokens\":%d,\"stream\":%b}",
            model,
            TOKENS,
            stream);
    var request =
        http.POST("http://" + target + "/v1/completions")
            .body(new StringRequestContent("application/json", body))
            .timeout(20, TimeUnit.SECONDS);
    if (traced) {
      request.headers(h -> h.put("traceparent", "00-" + TRACE_ID + "-00f067aa0ba902b7-01"));
    }
    ContentResponse response = request.send();
    String adapter = response.getHeaders().get("Sequoia-Adapter");
    String text = stream ? streamedText(response) : plainText(response);
    boolean adapterMatches =
        adapter != null && (adapter.equals(model) || adapter.startsWith(model + "@"));
    boolean correct =
        response.getStatus() == 200 && adapterMatches && text.equals(expectedText(adapter));
    recordResult(correct, model, stream ? "streamed" : "plain", response);
  }

  private void checkBooking(String target, String operation) throws Exception {
    String url = "http://" + target + "/services/bookings/slots";
    String body = "{\"booking\":\"demo-1\"}";
    ContentResponse withoutId = post(url, body, "");
    recordResult(withoutId.getStatus() == 428, "bookings", "without operation id", withoutId);
    ContentResponse first = post(url, body, operation);
    recordResult(first.getStatus() == 201, "bookings", "first", first);
    ContentResponse repeat = post(url, body, operation);
    boolean same = repeat.getContentAsString().equals(first.getContentAsString());
    recordResult(same && json(repeat).path("times").asInt() == 1, "bookings", "repeat", repeat);
  }

  private void checkRefusals(String target) throws Exception {
    String url = "http://" + target + "/v1/completions";
    ContentResponse unknown = post(url, "{\"model\":\"nobody\",\"prompt\":\"x\"}", "");
    recordResult(isNotRun(unknown, 404), "nobody", "unknown adapter", unknown);
    ContentResponse malformed = post(url, "{\"model\":", "");
    recordResult(isNotRun(malformed, 400), "-", "malformed body", malformed);
  }

  private ContentResponse post(String url, String body, String operation) throws Exception {
    var request = http.POST(url).body(new StringRequestContent("application/json", body));
    if (!operation.isEmpty()) {
      request.headers(h -> h.put("Sequoia-Operation", operation));
    }
    return request.timeout(20, TimeUnit.SECONDS).send();
  }

  private void recordResult(boolean correct, String model, String kind, ContentResponse response) {
    if (!correct) {
      wrongCount++;
    }
    out.printf(
        "%-5s %-14s %-22s status=%d adapter=%s runner=%s verdict=%s%n",
        correct ? "ok" : "WRONG",
        model,
        kind,
        response.getStatus(),
        response.getHeaders().get("Sequoia-Adapter"),
        response.getHeaders().get("Sequoia-Runner"),
        response.getHeaders().get("Sequoia-Verdict"));
  }

  private static boolean isNotRun(ContentResponse response, int status) {
    return response.getStatus() == status
        && "not-run".equals(response.getHeaders().get("Sequoia-Verdict"));
  }

  private static String expectedText(String adapter) {
    StringBuilder text = new StringBuilder();
    for (int i = 1; i <= TOKENS; i++) {
      text.append('[').append(adapter).append(':').append(i).append('/').append(TOKENS).append(']');
    }
    return text.toString();
  }

  private static String plainText(ContentResponse response) throws IOException {
    return json(response).path("choices").path(0).path("text").asText();
  }

  private static String streamedText(ContentResponse response) throws IOException {
    StringBuilder text = new StringBuilder();
    boolean done = false;
    for (String line : response.getContentAsString().split("\n")) {
      if (line.equals("data: [DONE]")) {
        done = true;
      } else if (line.startsWith("data: ")) {
        JsonNode event = StandinServer.MAPPER.readTree(line.substring("data: ".length()));
        text.append(event.path("choices").path(0).path("text").asText());
      }
    }
    return done ? text.toString() : text + "(no end marker)";
  }

  private static JsonNode json(ContentResponse response) throws IOException {
    return StandinServer.MAPPER.readTree(response.getContent());
  }

  /** Prints the spans of the traced request as a tree, each below its parent. */
  private void printSpans(List<Path> logs) throws IOException {
    List<Map<String, String>> spans = new ArrayList<>();
    for (Path log : logs) {
      for (String line : Files.readAllLines(log, StandardCharsets.UTF_8)) {
        if (line.contains("event=span") && line.contains("trace=" + TRACE_ID)) {
          spans.add(fields(line));
        }
      }
    }
    out.println("spans of one request:");
    for (Map<String, String> span : spans) {
      String parent = span.getOrDefault("parent", "");
      if (spans.stream().noneMatch(other -> parent.equals(other.get("span")))) {
        printSpan(span, spans, 1);
      }
    }
    if (spans.size() < 2) {
      wrongCount++;
      out.println("WRONG: expected at least two spans of the traced request; check the log files");
    }
  }

  private void printSpan(Map<String, String> span, List<Map<String, String>> all, int depth) {
    out.printf(
        "%s%s role=%s host=%s duration_us=%s%n",
        "  ".repeat(depth),
        span.get("name"),
        span.get("role"),
        span.get("host"),
        span.get("duration_us"));
    for (Map<String, String> other : all) {
      if (span.getOrDefault("span", "").equals(other.get("parent"))) {
        printSpan(other, all, depth + 1);
      }
    }
  }

  private static Map<String, String> fields(String line) {
    Map<String, String> fields = new HashMap<>();
    for (String pair : line.split(" ")) {
      int equals = pair.indexOf('=');
      if (equals > 0) {
        fields.putIfAbsent(pair.substring(0, equals), pair.substring(equals + 1));
      }
    }
    return fields;
  }
}
