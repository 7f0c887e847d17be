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

/** Calls the upstreams of plain services, once for each call made to it. */
public final class ServiceClient {

  private static final int MAX_ANSWER_BYTES = 16 << 20;
  private static final Set<String> PASSED_ON =
      Set.of("content-type", "cache-control", "etag", "location", "last-modified");

  private final HttpClient http;

  /** Creates a client of all services. */
  public ServiceClient(HttpClient http) {
    this.http = http;
  }

  /** Receives what became of a call, on an HTTP client thread. */
  public interface Listener {
    /** The upstream answered. */
    void onResponse(int status, Map<String, String> headers, byte[] body);

    /**
     * No answer came.
     *
     * @param sent false if surely nothing of the call reached the upstream
     */
    void onFailure(boolean sent, String why);
  }

  /** Makes one call. It is never repeated here: that is for its owner to decide. */
  public void call(
      String address,
      String method,
      String path,
      Map<String, String> headers,
      byte[] body,
      long timeoutMillis,
      Listener listener) {
    AtomicBoolean begun = new AtomicBoolean();
    Request request =
        http.newRequest("http://" + address + path)
            .method(method)
            .timeout(timeoutMillis, TimeUnit.MILLISECONDS)
            .onRequestBegin(r -> begun.set(true));
    headers.forEach((name, value) -> request.headers(fields -> fields.put(name, value)));
    if (body.length > 0) {
      request.body(
          new BytesRequestContent(
              headers.getOrDefault("content-type", "application/octet-stream"), body));
    }
    new CompletableResponseListener(request, MAX_ANSWER_BYTES)
        .send()
        .whenComplete(
            (response, failure) -> {
              if (failure != null) {
                listener.onFailure(begun.get(), String.valueOf(failure));
                return;
              }
              Map<String, String> kept = new HashMap<>();
              response
                  .getHeaders()
                  .forEach(
                      field -> {
                        if (PASSED_ON.contains(field.getLowerCaseName())) {
                          kept.put(field.getLowerCaseName(), field.getValue());
                        }
                      });
              listener.onResponse(response.getStatus(), kept, response.getContent());
            });
  }
}
