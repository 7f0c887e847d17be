package org.sequoiahub.platform;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.CompletableResponseListener;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.sequoiahub.core.response.Completeness;
import org.sequoiahub.runtime.http.ReceivedResponse;

/** Forwards calls to the upstreams of plain services, without retries. */
public final class ServiceClient {

  private static final int MAX_RESPONSE_BYTES = 16 << 20;
  private static final Set<String> FORWARDED_HEADERS =
      Set.of("content-type", "cache-control", "etag", "location", "last-modified");

  private final HttpClient http;

  /** Creates a client of all services. */
  public ServiceClient(HttpClient http) {
    this.http = http;
  }

  /** Receives the result of a call, on an HTTP client thread. */
  public interface Listener {
    /** Called with the upstream's response, whatever its status. */
    void onResponse(int status, Map<String, String> headers, byte[] body);

    /**
     * Called if no response was received.
     *
     * @param sent false only if it is certain that no part of the call reached the upstream
     */
    void onFailure(boolean sent, String reason);
  }

  /** Makes one call. It is never retried here: only the owner of the call may decide that. */
  public void call(
      String address,
      String method,
      String path,
      Map<String, String> headers,
      byte[] body,
      long timeoutMillis,
      Listener listener) {
    AtomicBoolean sendBegun = new AtomicBoolean();
    Request request =
        http.newRequest("http://" + address + path)
            .method(method)
            .timeout(timeoutMillis, TimeUnit.MILLISECONDS)
            .onRequestBegin(r -> sendBegun.set(true));
    headers.forEach((name, value) -> request.headers(fields -> fields.put(name, value)));
    if (body.length > 0) {
      request.body(
          new BytesRequestContent(
              headers.getOrDefault("content-type", "application/octet-stream"), body));
    }
    new CompletableResponseListener(request, MAX_RESPONSE_BYTES)
        .send()
        .whenComplete(
            (response, failure) -> {
              if (failure != null) {
                listener.onFailure(sendBegun.get(), String.valueOf(failure));
                return;
              }
              if (ReceivedResponse.completeness(response)
                  instanceof Completeness.Truncated truncated) {
                listener.onFailure(true, truncated.reason());
                return;
              }
              Map<String, String> forwarded = new HashMap<>();
              response
                  .getHeaders()
                  .forEach(
                      field -> {
                        if (FORWARDED_HEADERS.contains(field.getLowerCaseName())) {
                          forwarded.put(field.getLowerCaseName(), field.getValue());
                        }
                      });
              listener.onResponse(response.getStatus(), forwarded, response.getContent());
            });
  }
}
