package org.sequoiahub.node.upstream;

import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP;
import org.eclipse.jetty.http.HttpCookieStore;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.util.ssl.SslContextFactory;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.sequoiahub.core.upstream.RunnerEntry;

/** Sends requests to runners. */
public final class UpstreamClient {

  private static final int MAX_THREADS = 8;
  private static final int MIN_THREADS = 2;

  /** Connections to one address at most, whatever the operator's limit: a guard for memory. */
  private static final int MAX_CONNECTIONS = 512;

  /**
   * A runner that does not accept a connection in this time is passed over (ms): plain requests
   * have deadlines from 600 ms, and a connection takes 1 to 7 ms on the users' networks.
   */
  private static final int CONNECT_TIMEOUT_MILLIS = 250;

  /** Unused connections are closed after this (ms), below the runners' own limits. */
  private static final long IDLE_MILLIS = 60_000;

  private final HttpClient http;

  /** Creates a client on a started HTTP client made by {@link #start}. */
  public UpstreamClient(HttpClient http) {
    this.http = http;
  }

  /** Returns a started HTTP client that adds nothing to a request and repeats none. */
  public static HttpClient start() throws Exception {
    ClientConnector connector = new RunnerConnector();
    QueuedThreadPool threads = new QueuedThreadPool(MAX_THREADS, MIN_THREADS);
    threads.setName("http-client");
    threads.setDaemon(true);
    connector.setExecutor(threads);
    connector.setSslContextFactory(new UnusedTls());
    connector.setSelectors(1);
    HttpClient client = new HttpClient(new HttpClientTransportOverHTTP(connector));
    client.setMaxConnectionsPerDestination(MAX_CONNECTIONS);
    client.setMaxRequestsQueuedPerDestination(MAX_CONNECTIONS);
    client.setConnectTimeout(CONNECT_TIMEOUT_MILLIS);
    client.setIdleTimeout(IDLE_MILLIS);
    client.setDestinationIdleTimeout(2 * IDLE_MILLIS);
    client.setFollowRedirects(false);
    client.setUserAgentField(null);
    client.setHttpCookieStore(new HttpCookieStore.Empty());
    client.start();
    client.getContentDecoderFactories().clear();
    client.getProtocolHandlers().clear();
    return client;
  }

  /**
   * Sends a request.
   *
   * @param requestId the caller's id, which the answer must bear
   * @param headers the headers as the runner gets them
   * @param stream whether a good answer is a stream to be passed on in pieces
   */
  public Attempt start(
      RunnerEntry runner,
      String method,
      String pathAndQuery,
      String requestId,
      HttpFields headers,
      byte[] body,
      boolean stream,
      AttemptListener listener) {
    Request request =
        http.newRequest("http://" + runner.address())
            .path(pathAndQuery)
            .method(method)
            .headers(
                fields -> {
                  fields.remove(HttpHeader.ACCEPT_ENCODING);
                  fields.remove(HttpHeader.USER_AGENT);
                  fields.add(headers);
                });
    if (body.length > 0 || !HttpMethod.GET.is(method)) {
      request.body(new BytesRequestContent((String) null, body));
    }
    Attempt attempt = new Attempt(request, requestId, stream, listener);
    attempt.send();
    return attempt;
  }

  /**
   * Keeps the client from setting up TLS, which no connection of a host uses: loading providers and
   * trusted certificates took a sixth of a start's processor time (1.80 to 1.48 s with both
   * clients), which callers wait for when all hosts start again.
   */
  private static final class UnusedTls extends SslContextFactory.Client {
    @Override
    protected void doStart() {
      // Nothing to load.
    }
  }

  /** Makes connections on which a reset is not taken for an end. */
  private static final class RunnerConnector extends ClientConnector {
    @Override
    protected EndPoint newEndPoint(
        SelectableChannel channel, ManagedSelector selector, SelectionKey key) {
      return new RunnerEndPoint((SocketChannel) channel, selector, key, getScheduler());
    }
  }
}
