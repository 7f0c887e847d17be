package org.sequoiahub.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.eclipse.jetty.client.HttpClient;
import org.sequoiahub.runtime.settings.Endpoint;

/** Reads processes' administration interfaces. */
final class AdminReader implements AutoCloseable {

  private static final long TIMEOUT_SECONDS = 3;

  private final HttpClient http = new HttpClient();
  private final ObjectMapper mapper = new ObjectMapper();

  AdminReader() throws Exception {
    http.start();
  }

  /**
   * Reads a path of a process.
   *
   * @throws IOException if it cannot be read
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
      throw new IOException(admin + " cannot be read: " + e.getMessage(), e);
    }
  }

  @Override
  public void close() throws Exception {
    http.stop();
  }
}
