package org.sequoiahub.platform;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.CompletableResponseListener;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.http.HttpStatus;
import org.jspecify.annotations.Nullable;
import org.sequoiahub.core.record.AdapterVersion;
import org.sequoiahub.core.runner.EngineReport;
import org.sequoiahub.core.runner.OrderResult;

/** Speaks the engines' published interface. All answers come on an HTTP client thread. */
public final class EngineClient {

  /** Header that carries the fencing number. */
  public static final String FENCING_HEADER = "Sequoia-Fencing";

  /** Header that carries the request's id. */
  public static final String REQUEST_ID_HEADER = "X-Request-Id";

  private static final int MAX_ANSWER_BYTES = 4 << 20;

  private final HttpClient http;
  private final ObjectMapper mapper = new ObjectMapper();

  /** Creates a client of all engines. */
  public EngineClient(HttpClient http) {
    this.http = http;
  }

  /**
   * An engine's answer to an order.
   *
   * @param result whether it was done
   * @param fenced whether it was refused for its fencing number
   * @param highestFencing the number to exceed, if fenced
   */
  public record OrderResponse(OrderResult result, boolean fenced, long highestFencing) {}

  /** What an engine reported, or nothing if it could not be read. */
  public interface ReportListener {
    /** Receives a report. */
    void onReport(EngineReport report);

    /** Told that no report could be read. */
    void onFailure(String why);
  }

  /** Orders an engine to load an adapter version. */
  public void load(
      String address,
      AdapterVersion adapter,
      long fencing,
      long timeoutMillis,
      Consumer<OrderResponse> answer) {
    Map<String, String> body =
        Map.of("lora_name", adapter.exactName(), "lora_path", "weights/" + adapter.exactName());
    order(address, "/v1/load_lora_adapter", body, fencing, timeoutMillis, answer);
  }

  /** Orders an engine to evict an adapter version. */
  public void unload(
      String address,
      AdapterVersion adapter,
      long fencing,
      long timeoutMillis,
      Consumer<OrderResponse> answer) {
    Map<String, String> body = Map.of("lora_name", adapter.exactName());
    order(address, "/v1/unload_lora_adapter", body, fencing, timeoutMillis, answer);
  }

  /** Gives an engine the order that changes nothing: it only makes the fencing number known. */
  public void claim(
      String address, long fencing, long timeoutMillis, Consumer<OrderResponse> answer) {
    order(address, "/v1/role", Map.of("role", "serve"), fencing, timeoutMillis, answer);
  }

  /**
   * Asks an engine to stop a request; {@code confirmed} gets whether it surely no longer runs.
   *
   * <p>A cancel travels on its own connection and can overtake the start. An engine that does not
   * know the request may get it a moment later; were that taken for a confirmation, the adapter
   * would lose its pin and be evicted under the request. So only the engine's word that it knew it
   * counts.
   */
  public void cancel(
      String address, String requestId, long timeoutMillis, Consumer<Boolean> confirmed) {
    Request request =
        http.newRequest("http://" + address + "/v1/requests/" + requestId + "/cancel")
            .method(HttpMethod.POST)
            .timeout(timeoutMillis, TimeUnit.MILLISECONDS);
    new CompletableResponseListener(request, MAX_ANSWER_BYTES)
        .send()
        .whenComplete(
            (response, failure) ->
                confirmed.accept(failure == null && response.getStatus() == HttpStatus.OK_200));
  }

  /**
   * Reads an engine's load report.
   *
   * @param nowMillis the present time; the sample is dated relative to it
   */
  public void readReport(String address, long timeoutMillis, long nowMillis, ReportListener listener) {
    Request request =
        http.newRequest("http://" + address + "/v1/load")
            .timeout(timeoutMillis, TimeUnit.MILLISECONDS);
    new CompletableResponseListener(request, MAX_ANSWER_BYTES)
        .send()
        .whenComplete(
            (response, failure) -> {
              if (failure != null || response.getStatus() != HttpStatus.OK_200) {
                listener.onFailure(failure == null ? "status " + response.getStatus() : "" + failure);
                return;
              }
              try {
                listener.onReport(parseReport(response, nowMillis));
              } catch (IOException | IllegalArgumentException e) {
                listener.onFailure("report: " + e.getMessage());
              }
            });
  }

  /** Starts a request and streams its answer. */
  public EngineStream start(
      String address,
      String path,
      String requestId,
      byte[] body,
      boolean interactive,
      long fencing,
      String traceparent,
      EngineStream.Listener listener) {
    Request request =
        http.newRequest("http://" + address + path)
            .method(HttpMethod.POST)
            .headers(
                headers -> {
                  headers.put(REQUEST_ID_HEADER, requestId);
                  headers.put("X-Priority", interactive ? "0" : "10");
                  if (fencing > 0) {
                    headers.put(FENCING_HEADER, Long.toString(fencing));
                  }
                  if (!traceparent.isEmpty()) {
                    headers.put("traceparent", traceparent);
                  }
                })
            .body(new BytesRequestContent("application/json", body));
    return EngineStream.open(request, mapper, listener);
  }

  /** Streams the rest of a running request's answer, from after chunk {@code after}. */
  public EngineStream resume(
      String address, String requestId, long after, EngineStream.Listener listener) {
    Request request =
        http.newRequest(
            "http://" + address + "/v1/requests/" + requestId + "/stream?after=" + after);
    return EngineStream.open(request, mapper, listener);
  }

  private void order(
      String address,
      String path,
      Map<String, String> body,
      long fencing,
      long timeoutMillis,
      Consumer<OrderResponse> answer) {
    byte[] json;
    try {
      json = mapper.writeValueAsBytes(body);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("body must be a map of texts", e);
    }
    Request request =
        http.newRequest("http://" + address + path)
            .method(HttpMethod.POST)
            .timeout(timeoutMillis, TimeUnit.MILLISECONDS)
            .body(new BytesRequestContent("application/json", json));
    if (fencing > 0) {
      request.headers(headers -> headers.put(FENCING_HEADER, Long.toString(fencing)));
    }
    new CompletableResponseListener(request, MAX_ANSWER_BYTES)
        .send()
        .whenComplete((response, failure) -> answer.accept(orderAnswer(response, failure)));
  }

  private OrderResponse orderAnswer(@Nullable ContentResponse response, @Nullable Throwable failure) {
    if (response == null || failure != null) {
      return new OrderResponse(OrderResult.UNKNOWN, false, 0);
    }
    if (response.getStatus() == HttpStatus.OK_200) {
      return new OrderResponse(OrderResult.DONE, false, 0);
    }
    if (response.getStatus() == HttpStatus.PRECONDITION_FAILED_412) {
      return new OrderResponse(OrderResult.FAILED, true, highest(response));
    }
    return new OrderResponse(OrderResult.FAILED, false, 0);
  }

  private long highest(ContentResponse response) {
    try {
      return mapper.readTree(response.getContent()).path("highest").longValue();
    } catch (IOException e) {
      return 0;
    }
  }

  private EngineReport parseReport(ContentResponse response, long sentMillis) throws IOException {
    JsonNode root = mapper.readTree(response.getContent());
    long age = root.path("sample_age_ms").longValue();
    Map<String, AdapterVersion> active = new HashMap<>();
    for (JsonNode item : root.path("active")) {
      active.put(item.path("id").asText(), AdapterVersion.parse(item.path("model").asText()));
    }
    return new EngineReport(
        sentMillis - age, adapters(root.path("resident")), adapters(root.path("loading")), active);
  }

  private static Set<AdapterVersion> adapters(JsonNode names) {
    Set<AdapterVersion> adapters = new HashSet<>();
    names.forEach(name -> adapters.add(AdapterVersion.parse(name.asText())));
    return adapters;
  }
}
