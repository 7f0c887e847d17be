package org.sequoiahub.platform;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.sequoiahub.core.config.StoredRecord;
import org.sequoiahub.runtime.settings.Endpoint;

/** Reads and watches the configuration service. All calls block, so each needs its own thread. */
public final class ConfigurationClient {

  private static final int MAX_RESPONSE_BYTES = 256 << 20;

  /** Time allowed for a response, in addition to the wait that a watch asks the service for. */
  private static final long RESPONSE_TIMEOUT_MILLIS = 2_000;

  private final HttpClient http;
  private final Endpoint endpoint;
  private final ObjectMapper mapper = new ObjectMapper();

  /** Creates a client of the service at {@code endpoint}. */
  public ConfigurationClient(HttpClient http, Endpoint endpoint) {
    this.http = http;
    this.endpoint = endpoint;
  }

  /**
   * The records that one call returned.
   *
   * @param revision the service's revision at the time of its response
   * @param complete whether {@code records} holds all records, not only changes
   * @param records all records, or the changed and deleted ones
   */
  public record Listing(long revision, boolean complete, List<StoredRecord> records) {}

  /**
   * Returns all records.
   *
   * @throws IOException if the service does not respond with status 200 before the timeout
   */
  public Listing list() throws IOException, InterruptedException {
    return read("/v1/records", RESPONSE_TIMEOUT_MILLIS);
  }

  /**
   * Returns the changes after {@code revision}, waiting at most {@code waitMillis} for one.
   *
   * @throws IOException if the service does not respond with status 200 before the timeout
   */
  public Listing watch(long revision, long waitMillis) throws IOException, InterruptedException {
    String path = "/v1/watch?after=" + revision + "&wait_ms=" + waitMillis;
    return read(path, waitMillis + RESPONSE_TIMEOUT_MILLIS);
  }

  private Listing read(String path, long timeoutMillis) throws IOException, InterruptedException {
    ContentResponse response =
        BlockingHttp.get(http, endpoint, path, timeoutMillis, MAX_RESPONSE_BYTES);
    JsonNode root = mapper.readTree(response.getContent());
    List<StoredRecord> records = new ArrayList<>();
    for (JsonNode item : root.path("records")) {
      boolean deleted = item.path("deleted").booleanValue();
      byte[] value = deleted ? new byte[0] : item.path("value").toString().getBytes(UTF_8);
      records.add(
          new StoredRecord(
              item.path("key").asText(), item.path("revision").longValue(), deleted, value));
    }
    return new Listing(
        root.path("revision").longValue(), root.path("complete").booleanValue(), records);
  }
}
