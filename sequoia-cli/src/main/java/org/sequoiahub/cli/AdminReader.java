package org.sequoiahub.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.eclipse.jetty.client.HttpClient;
import org.sequoiahub.runtime.settings.Endpoint;

/** HTTP client that reads JSON from the administration interfaces of Sequoia processes. */
final class AdminReader implements AutoCloseable {

  private static final long TIMEOUT_SECONDS = 3;

  private final HttpClient http = new HttpClient();
  private final ObjectMapper mapper = new ObjectMapper();

  AdminReader() throws Exception {
    http.start();
  }

  /**
   * Returns the JSON that a process serves at a path.
   *
   * @param admin the process's administration address, {@code host:port}
   * @param path the path to read, beginning with a slash
   * @throws UsageException if {@code admin} is not a valid address
   * @throws IOException if the request fails or times out, or if the response is not JSON
   */
  JsonNode read(String admin, String path) throws IOException {
    if (Endpoint.parse(admin).isEmpty()) {
      throw new UsageException("ADMIN must be host:port, was '" + admin + "'");
    }
    try {
      var response =
          http.newRequest("http://" + admin + path)
              .timeout(TIMEOUT_SECONDS, TimeUnit.SECONDS)
              .send();
      return mapper.readTree(response.getContent());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException("interrupted", e);
    } catch (ExecutionException | TimeoutException e) {
      throw new IOException(admin + ": HTTP request failed: " + e.getMessage(), e);
    }
  }

  @Override
  public void close() throws Exception {
    http.stop();
  }
}
