package org.sequoiahub.platform;

import java.io.IOException;
import org.eclipse.jetty.client.HttpClient;
import org.sequoiahub.runtime.settings.Endpoint;

/** Reads the published host list. Calls block, so each needs its own thread. */
public final class HostListClient {

  private static final long TIMEOUT_MILLIS = 2_000;
  private static final int MAX_RESPONSE_BYTES = 16 << 20;

  private final HttpClient http;
  private final Endpoint endpoint;

  /** Creates a client that reads the list from {@code endpoint}. */
  public HostListClient(HttpClient http, Endpoint endpoint) {
    this.http = http;
    this.endpoint = endpoint;
  }

  /**
   * Returns the list's JSON as published.
   *
   * @throws IOException if the service does not respond with status 200 before the timeout
   */
  public byte[] read() throws IOException, InterruptedException {
    return BlockingHttp.get(http, endpoint, "/v1/hosts", TIMEOUT_MILLIS, MAX_RESPONSE_BYTES)
        .getContent();
  }
}
