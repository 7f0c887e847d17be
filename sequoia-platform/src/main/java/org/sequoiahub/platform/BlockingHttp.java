package org.sequoiahub.platform;

import java.io.IOException;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.eclipse.jetty.client.CompletableResponseListener;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.http.HttpStatus;
import org.sequoiahub.runtime.settings.Endpoint;

/** Blocking reads, for duties that do nothing else. */
final class BlockingHttp {

  private BlockingHttp() {}

  /**
   * Reads one resource.
   *
   * @throws IOException if no answer came in time, or one that is not 200
   */
  static ContentResponse get(
      HttpClient http, Endpoint endpoint, String path, long timeoutMillis, int maxBytes)
      throws IOException, InterruptedException {
    var request =
        http.newRequest("http://" + endpoint + path)
            .timeout(timeoutMillis, TimeUnit.MILLISECONDS)
            .idleTimeout(timeoutMillis, TimeUnit.MILLISECONDS);
    try {
      ContentResponse response =
          new CompletableResponseListener(request, maxBytes)
              .send()
              .get(timeoutMillis, TimeUnit.MILLISECONDS);
      if (response.getStatus() != HttpStatus.OK_200) {
        throw new IOException(endpoint + path + " answered " + response.getStatus());
      }
      return response;
    } catch (ExecutionException e) {
      throw new IOException(endpoint + path + ": " + e.getCause(), e);
    } catch (TimeoutException e) {
      request.abort(e);
      throw new IOException(endpoint + path + ": no answer in " + timeoutMillis + " ms", e);
    }
  }
}
