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

/** Blocking HTTP requests, for threads that only read one source. */
final class BlockingHttp {

  private BlockingHttp() {}

  /**
   * Returns the response to a GET request.
   *
   * @throws IOException if no response arrives before the timeout, or its status is not 200
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
        throw new IOException(endpoint + path + " responded with status " + response.getStatus());
      }
      return response;
    } catch (ExecutionException e) {
      throw new IOException(endpoint + path + ": " + e.getCause(), e);
    } catch (TimeoutException e) {
      request.abort(e);
      throw new IOException(endpoint + path + ": no response within " + timeoutMillis + " ms", e);
    }
  }
}
