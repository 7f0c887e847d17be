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

/** Calls the engines' published interface. All callbacks run on an HTTP client thread. */
public final class EngineClient {

  /** The header that carries the fencing number of the sender. */
  public static final String FENCING_HEADER = "Sequoia-Fencing";

  /** The header that carries the request's id. */
  public static final String REQUEST_ID_HEADER = "X-Request-Id";

  private static final int MAX_RESPONSE_BYTES = 4 << 20;

  private final HttpClient http;
  private final ObjectMapper mapper = new ObjectMapper();

  /** Creates a client for all engines; each call names the address of its engine. */
  public EngineClient(HttpClient http) {
    this.http = http;
  }

  /**
   * An engine's response to an order.
   *
   * @param result whether the order was carried out, or unknown if no response was received
   * @param fenced whether the order was refused because of its fencing number
   * @param highestFencing the fencing number that the next order must exceed, if fenced; 0 if the
   *     engine did not state it
   */
  public record OrderResponse(OrderResult result, boolean fenced, long highestFencing) {}

  /** Receives an engine's load report. */
  public interface ReportListener {
    /** Called with the report. */
    void onReport(EngineReport report);

    /** Called if the report could not be read. */
    void onFailure(String reason);
  }

  /** Orders an engine to load an adapter version. */
  public void load(
      String address,
      AdapterVersion adapter,
      long fencing,
      long timeoutMillis,
      Consumer<OrderResponse> callback) {
    Map<String, String> body =
        Map.of("lora_name", adapter.exactName(), "lora_path", "weights/" + adapter.exactName());
    sendOrder(address, "/v1/load_lora_adapter", body, fencing, timeoutMillis, callback);
  }

  /** Orders an engine to evict an adapter version. */
  public void unload(
      String address,
      AdapterVersion adapter,
      long fencing,
      long timeoutMillis,
      Consumer<OrderResponse> callback) {
    Map<String, String> body = Map.of("lora_name", adapter.exactName());
    sendOrder(address, "/v1/unload_lora_adapter", body, fencing, timeoutMillis, callback);
  }

  /** Sends an engine an order that changes nothing except the highest fencing number it knows. */
  public void claim(
      String address, long fencing, long timeoutMillis, Consumer<OrderResponse> callback) {
    sendOrder(address, "/v1/role", Map.of("role", "serve"), fencing, timeoutMillis, callback);
  }

  /**
   * Asks an engine to cancel a request.
   *
   * <p>A cancel uses its own connection and can overtake the start of the request. An engine that
   * does not know the request may therefore receive it a moment later. If such a response counted
   * as a confirmation, the adapter would be unpinned and could be evicted while the request runs.
   * Only a response from an engine that knew the request (status 200) therefore confirms the
   * cancel.
   *
   * @param confirmed receives whether the request is certain to run no longer
   */
  public void cancel(
      String address, String requestId, long timeoutMillis, Consumer<Boolean> confirmed) {
    Request request =
        http.newRequest("http://" + address + "/v1/requests/" + requestId + "/cancel")
            .method(HttpMethod.POST)
            .timeout(timeoutMillis, TimeUnit.MILLISECONDS);
    new CompletableResponseListener(request, MAX_RESPONSE_BYTES)
        .send()
        .whenComplete(
            (response, failure) ->
                confirmed.accept(failure == null && response.getStatus() == HttpStatus.OK_200));
  }

  /**
   * Reads an engine's load report.
   *
   * @param nowMillis the present time (ms), from which the age of the sample is subtracted
   */
  public void readReport(
      String address, long timeoutMillis, long nowMillis, ReportListener listener) {
    Request request =
        http.newRequest("http://" + address + "/v1/load")
            .timeout(timeoutMillis, TimeUnit.MILLISECONDS);
    new CompletableResponseListener(request, MAX_RESPONSE_BYTES)
        .send()
        .whenComplete(
            (response, failure) -> {
              if (failure != null || response.getStatus() != HttpStatus.OK_200) {
                listener.onFailure(
                    failure == null
                        ? "the engine responded with status " + response.getStatus()
                        : "" + failure);
                return;
              }
              try {
                listener.onReport(parseReport(response, nowMillis));
              } catch (IOException | IllegalArgumentException e) {
                listener.onFailure("cannot parse the load report: " + e.getMessage());
              }
            });
  }

  /** Starts a request and streams its response. */
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

  /** Resumes the response stream of a running request after chunk {@code after}. */
  public EngineStream resume(
      String address, String requestId, long after, EngineStream.Listener listener) {
    Request request =
        http.newRequest(
            "http://" + address + "/v1/requests/" + requestId + "/stream?after=" + after);
    return EngineStream.open(request, mapper, listener);
  }

  private void sendOrder(
      String address,
      String path,
      Map<String, String> body,
      long fencing,
      long timeoutMillis,
      Consumer<OrderResponse> callback) {
    byte[] json;
    try {
      json = mapper.writeValueAsBytes(body);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("cannot write the body of the order as JSON", e);
    }
    Request request =
        http.newRequest("http://" + address + path)
            .method(HttpMethod.POST)
            .timeout(timeoutMillis, TimeUnit.MILLISECONDS)
            .body(new BytesRequestContent("application/json", json));
    if (fencing > 0) {
      request.headers(headers -> headers.put(FENCING_HEADER, Long.toString(fencing)));
    }
    new CompletableResponseListener(request, MAX_RESPONSE_BYTES)
        .send()
        .whenComplete((response, failure) -> callback.accept(toOrderResponse(response, failure)));
  }

  private OrderResponse toOrderResponse(
      @Nullable ContentResponse response, @Nullable Throwable failure) {
    if (response == null || failure != null) {
      return new OrderResponse(OrderResult.UNKNOWN, false, 0);
    }
    if (response.getStatus() == HttpStatus.OK_200) {
      return new OrderResponse(OrderResult.DONE, false, 0);
    }
    if (response.getStatus() == HttpStatus.PRECONDITION_FAILED_412) {
      return new OrderResponse(OrderResult.FAILED, true, parseHighestFencing(response));
    }
    return new OrderResponse(OrderResult.FAILED, false, 0);
  }

  private long parseHighestFencing(ContentResponse response) {
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
        sentMillis - age,
        parseAdapters(root.path("resident")),
        parseAdapters(root.path("loading")),
        active);
  }

  private static Set<AdapterVersion> parseAdapters(JsonNode names) {
    Set<AdapterVersion> adapters = new HashSet<>();
    names.forEach(name -> adapters.add(AdapterVersion.parse(name.asText())));
    return adapters;
  }
}
