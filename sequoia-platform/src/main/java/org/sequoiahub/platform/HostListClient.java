package org.sequoiahub.platform;

import java.io.IOException;
import org.eclipse.jetty.client.HttpClient;
import org.sequoiahub.runtime.settings.Endpoint;

/** Reads the published host list; blocking, for one duty's own thread. */
public final class HostListClient {

  private static final long TIMEOUT_MILLIS = 2_000;
  private static final int MAX_BYTES = 16 << 20;

  private final HttpClient http;
  private final Endpoint endpoint;

  /** Creates a client of the list at {@code endpoint}. */
  public HostListClient(HttpClient http, Endpoint endpoint) {
    this.http = http;
    this.endpoint = endpoint;
  }

  /** Returns the list's JSON as published. */
  public byte[] read() throws IOException, InterruptedException {
    return BlockingHttp.get(http, endpoint, "/v1/hosts", TIMEOUT_MILLIS, MAX_BYTES).getContent();
  }
}
