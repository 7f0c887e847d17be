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

/** Reads the weight store's published status. */
public final class WeightStoreClient {

  private static final long TIMEOUT_MILLIS = 1_000;
  private static final int MAX_BYTES = 1 << 16;

  private final HttpClient http;
  private final Endpoint endpoint;
  private final ObjectMapper mapper = new ObjectMapper();

  /** Creates a client of the store at {@code endpoint}. */
  public WeightStoreClient(HttpClient http, Endpoint endpoint) {
    this.http = http;
    this.endpoint = endpoint;
  }

  /** Reads how many loads are in progress; empty if that cannot be read. */
  public void readActiveLoads(Consumer<OptionalInt> answer) {
    var request =
        http.newRequest("http://" + endpoint + "/v1/status")
            .timeout(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    new CompletableResponseListener(request, MAX_BYTES)
        .send()
        .whenComplete(
            (response, failure) -> {
              if (failure != null || response.getStatus() != HttpStatus.OK_200) {
                answer.accept(OptionalInt.empty());
                return;
              }
              try {
                answer.accept(
                    OptionalInt.of(
                        mapper.readTree(response.getContent()).path("active").intValue()));
              } catch (IOException e) {
                answer.accept(OptionalInt.empty());
              }
            });
  }
}
