package org.sequoiahub.platform;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.OptionalInt;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.eclipse.jetty.client.CompletableResponseListener;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.http.HttpStatus;
import org.sequoiahub.runtime.settings.Endpoint;

/** Reads the published status of the weight store. */
public final class WeightStoreClient {

  private static final long TIMEOUT_MILLIS = 1_000;
  private static final int MAX_RESPONSE_BYTES = 1 << 16;

  private final HttpClient http;
  private final Endpoint endpoint;
  private final ObjectMapper mapper = new ObjectMapper();

  /** Creates a client of the store at {@code endpoint}. */
  public WeightStoreClient(HttpClient http, Endpoint endpoint) {
    this.http = http;
    this.endpoint = endpoint;
  }

  /**
   * Reads the number of loads in progress.
   *
   * @param callback receives the number, or empty if it cannot be read; called on an HTTP client
   *     thread
   */
  public void readActiveLoads(Consumer<OptionalInt> callback) {
    var request =
        http.newRequest("http://" + endpoint + "/v1/status")
            .timeout(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    new CompletableResponseListener(request, MAX_RESPONSE_BYTES)
        .send()
        .whenComplete(
            (response, failure) -> {
              if (failure != null || response.getStatus() != HttpStatus.OK_200) {
                callback.accept(OptionalInt.empty());
                return;
              }
              try {
                callback.accept(
                    OptionalInt.of(
                        mapper.readTree(response.getContent()).path("active").intValue()));
              } catch (IOException e) {
                callback.accept(OptionalInt.empty());
              }
            });
  }
}
