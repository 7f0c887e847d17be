package org.sequoiahub.node.upstream;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.ContinueProtocolHandler;
import org.eclipse.jetty.client.EarlyHintsProtocolHandler;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.ProcessingProtocolHandler;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP;
import org.eclipse.jetty.http.HttpCookieStore;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.util.ssl.SslContextFactory;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.sequoiahub.core.routing.RepeatPolicy;
import org.sequoiahub.core.upstream.RunnerEntry;
import org.sequoiahub.runtime.http.ResetReportingConnector;

/** Sends requests to runners over HTTP. */
public final class UpstreamClient {

  private static final int MAX_THREADS = 8;
  private static final int MIN_THREADS = 2;

  /**
   * Maximum number of connections to one address, independent of the operator's limit: limits the
   * use of memory.
   */
  private static final int MAX_CONNECTIONS_PER_ADDRESS = 512;

  /**
   * Time after which an attempt to connect to a runner fails, so that another runner can be tried
   * (ms): plain requests have deadlines from 600 ms, and a connection takes 1 to 7 ms on the users'
   * networks.
   */
  private static final int CONNECT_TIMEOUT_MILLIS = 250;

  /** Time after which an unused connection is closed (ms): shorter than the runners' own limits. */
  private static final long IDLE_TIMEOUT_MILLIS = 60_000;

  /** Lets a connection be idle for any time while a request is in progress on it. */
  private static final long NO_IDLE_TIMEOUT = 0;

  private final HttpClient http;
  private final LongSupplier wallClock;
  private final ResponseMemory responseMemory;

  /**
   * Creates a client whose buffered responses take a part of the heap of the process at most.
   *
   * @param http a started HTTP client, as returned by {@link #start}
   * @param wallClock returns the time of day (ms since the epoch)
   */
  public UpstreamClient(HttpClient http, LongSupplier wallClock) {
    this(http, wallClock, ResponseMemory.ofHeap(Runtime.getRuntime().maxMemory()));
  }

  /**
   * Creates a client.
   *
   * @param responseMemory bounds the memory of the responses that are buffered
   */
  UpstreamClient(HttpClient http, LongSupplier wallClock, ResponseMemory responseMemory) {
    this.http = http;
    this.wallClock = wallClock;
    this.responseMemory = responseMemory;
  }

  /** Returns a started HTTP client that adds no headers to a request and never repeats one. */
  public static HttpClient start() throws Exception {
    return start(RunnerAddressResolver.DIRECT);
  }

  /** Returns a client as {@link #start()} does, which connects to the addresses of a resolver. */
  public static HttpClient start(RunnerAddressResolver resolver) throws Exception {
    ClientConnector connector = new ResetReportingConnector();
    QueuedThreadPool threads = new QueuedThreadPool(MAX_THREADS, MIN_THREADS);
    threads.setName("http-client");
    threads.setDaemon(true);
    connector.setExecutor(threads);
    connector.setSslContextFactory(new DisabledTls());
    connector.setSelectors(1);
    HttpClient client = new HttpClient(new HttpClientTransportOverHTTP(connector));
    client.setMaxConnectionsPerDestination(MAX_CONNECTIONS_PER_ADDRESS);
    client.setMaxRequestsQueuedPerDestination(MAX_CONNECTIONS_PER_ADDRESS);
    client.setConnectTimeout(CONNECT_TIMEOUT_MILLIS);
    client.setIdleTimeout(IDLE_TIMEOUT_MILLIS);
    client.setDestinationIdleTimeout(2 * IDLE_TIMEOUT_MILLIS);
    client.setMaxResponseHeadersSize(ResetReportingConnector.MAX_HEADER_BYTES);
    client.setFollowRedirects(false);
    client.setUserAgentField(null);
    client.setSocketAddressResolver(
        (host, port, context, promise) ->
            promise.succeeded(List.of(resolver.resolve(new InetSocketAddress(host, port)))));
    client.setHttpCookieStore(new HttpCookieStore.Empty());
    client.start();
    client.getContentDecoderFactories().clear();
    // Only the handlers that skip informational responses remain.
    client.getProtocolHandlers().clear();
    client.getProtocolHandlers().put(new ContinueProtocolHandler());
    client.getProtocolHandlers().put(new ProcessingProtocolHandler());
    client.getProtocolHandlers().put(new EarlyHintsProtocolHandler());
    return client;
  }

  /**
   * Sends a request and returns the attempt, which reports to the listener.
   *
   * @param requestId the caller's request id, which the response must repeat
   * @param headers all headers to send
   * @param repeatPolicy whether the content of a successful response is passed to the listener as
   *     it arrives, rather than buffered, and whether the request may run again
   */
  public Attempt start(
      RunnerEntry runner,
      String method,
      String pathAndQuery,
      String requestId,
      HttpFields headers,
      byte[] body,
      RepeatPolicy repeatPolicy,
      AttemptListener listener) {
    Request request =
        http.newRequest("http://" + runner.address())
            .path(pathAndQuery)
            .method(method)
            // Its deadline ends the request; the silence of its runner does not.
            .idleTimeout(NO_IDLE_TIMEOUT, TimeUnit.MILLISECONDS)
            .headers(
                fields -> {
                  fields.remove(HttpHeader.ACCEPT_ENCODING);
                  fields.remove(HttpHeader.USER_AGENT);
                  fields.add(headers);
                });
    if (body.length > 0 || !HttpMethod.GET.is(method)) {
      request.body(new BytesRequestContent((String) null, body));
    }
    Attempt attempt =
        new Attempt(request, requestId, repeatPolicy, wallClock, responseMemory, listener);
    attempt.send();
    return attempt;
  }

  /**
   * Keeps the client from initializing TLS, which no connection of a host uses. Loading the
   * providers and trusted certificates takes a sixth of the processor time of a host's start (for
   * both clients 1.80 s, and 1.48 s without it), and callers wait for it after a restart of all
   * hosts.
   */
  private static final class DisabledTls extends SslContextFactory.Client {
    @Override
    protected void doStart() {
      // Skips the loading of providers and certificates.
    }
  }
}
