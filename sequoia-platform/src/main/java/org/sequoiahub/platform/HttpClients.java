package org.sequoiahub.platform;

import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.sequoiahub.runtime.http.ResetReportingConnector;

/** Creates the HTTP client that all clients of a process share. */
public final class HttpClients {

  private static final int MAX_THREADS = 8;
  private static final int MIN_THREADS = 2;
  private static final int MAX_CONNECTIONS_PER_UPSTREAM = 512;
  private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

  private HttpClients() {}

  /** Creates and starts a client. */
  public static HttpClient start() throws Exception {
    ClientConnector connector = new ResetReportingConnector();
    QueuedThreadPool threads = new QueuedThreadPool(MAX_THREADS, MIN_THREADS);
    threads.setName("http-client");
    threads.setDaemon(true);
    connector.setExecutor(threads);
    connector.setSelectors(1);
    HttpClient client = new HttpClient(new HttpClientTransportOverHTTP(connector));
    client.setMaxConnectionsPerDestination(MAX_CONNECTIONS_PER_UPSTREAM);
    client.setConnectTimeout(CONNECT_TIMEOUT_MILLIS);
    client.setFollowRedirects(false);
    client.getContentDecoderFactories().clear();
    client.start();
    return client;
  }
}
