package org.sequoiahub.node.caller;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongUnaryOperator;
import java.util.function.Predicate;
import java.util.function.Supplier;
import java.util.function.UnaryOperator;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.http.UriCompliance;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.server.ConnectionFactory;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.sequoiahub.core.routing.CallerLimits;
import org.sequoiahub.usersplatform.AddressProtocol;

/** HTTP server with the ports to which callers and the platform connect. */
public final class CallerServer implements AutoCloseable {

  private static final int MAX_THREADS = 12;
  private static final int MIN_THREADS = 3;

  /**
   * Time by which the idle timeout exceeds the limit of the configuration (ms): callers reuse a
   * connection until shortly before that limit, and the server must not close it sooner.
   */
  private static final long IDLE_MARGIN_MILLIS = 3_000;

  /** Shortest idle timeout (ms); no route's response takes longer between two bytes. */
  private static final long MIN_IDLE_MILLIS = 20_000;

  /**
   * Maximum number of connections that wait to be accepted; a full queue delays callers by seconds.
   */
  private static final int ACCEPT_QUEUE = 1_024;

  /** Interval at which it is checked which connections can be closed (ms). */
  private static final long CLOSE_CHECK_MILLIS = 5;

  private final Server server;
  private final ServerConnector callerConnector;
  private final HttpConfiguration callerConfiguration;
  private final AddressProtocol addressDialect = new AddressProtocol();
  private final Supplier<List<String>> addresses;
  private final long addressTtlMillis;
  private final BooleanSupplier ready;
  private final Supplier<CallerLimits> limits;
  private final Consumer<CallerExchange> requestHandler;
  private final LongUnaryOperator idleTimeout;
  private final int readinessPort;
  private final int addressPort;
  private final int metricsPort;
  private final UnaryOperator<String> operatorPage;

  /** The connections on which the response to a caller's request is not written completely. */
  private final Set<EndPoint> responding = ConcurrentHashMap.newKeySet();

  /**
   * Creates a server; {@link #start} opens its ports.
   *
   * @param metricsPort the port that serves pages for operators; 0 for none
   * @param addressTtlMillis how long a caller may use the addresses that it received (ms)
   * @param addresses the addresses, for callers, of all hosts that accept requests
   * @param ready whether this host accepts requests
   * @param limits the present limits on callers' requests
   * @param operatorPage returns what the metrics port serves at a path
   * @param requestHandler receives each request once its body has been read
   */
  public CallerServer(
      String ip,
      int callerPort,
      int readinessPort,
      int addressPort,
      int metricsPort,
      long addressTtlMillis,
      Supplier<List<String>> addresses,
      BooleanSupplier ready,
      Supplier<CallerLimits> limits,
      UnaryOperator<String> operatorPage,
      Consumer<CallerExchange> requestHandler) {
    this(
        ip,
        callerPort,
        readinessPort,
        addressPort,
        metricsPort,
        addressTtlMillis,
        addresses,
        ready,
        limits,
        operatorPage,
        requestHandler,
        idleLimitMillis -> Math.max(MIN_IDLE_MILLIS, idleLimitMillis + IDLE_MARGIN_MILLIS));
  }

  /**
   * Creates a server with idle timeouts of its own.
   *
   * @param idleTimeout returns the idle timeout for the idle limit of a configuration (ms)
   */
  CallerServer(
      String ip,
      int callerPort,
      int readinessPort,
      int addressPort,
      int metricsPort,
      long addressTtlMillis,
      Supplier<List<String>> addresses,
      BooleanSupplier ready,
      Supplier<CallerLimits> limits,
      UnaryOperator<String> operatorPage,
      Consumer<CallerExchange> requestHandler,
      LongUnaryOperator idleTimeout) {
    this.addresses = addresses;
    this.addressTtlMillis = addressTtlMillis;
    this.ready = ready;
    this.limits = limits;
    this.requestHandler = requestHandler;
    this.readinessPort = readinessPort;
    this.addressPort = addressPort;
    this.metricsPort = metricsPort;
    this.operatorPage = operatorPage;
    this.idleTimeout = idleTimeout;
    QueuedThreadPool threads = new QueuedThreadPool(MAX_THREADS, MIN_THREADS);
    threads.setName("http-server");
    threads.setDaemon(true);
    this.server = new Server(threads);
    this.callerConfiguration = configuration();
    this.callerConnector = connector(ip, callerPort, callerConfiguration);
    connector(ip, readinessPort, configuration());
    connector(ip, addressPort, configuration());
    if (metricsPort > 0) {
      connector(ip, metricsPort, configuration());
    }
    server.setErrorHandler(new PlainErrorHandler());
    server.setHandler(new PortHandler());
    apply(CallerLimits.UNKNOWN);
  }

  /** Opens the ports. */
  public void start() throws Exception {
    server.start();
  }

  /** Applies limits to existing and future connections. */
  public void apply(CallerLimits newLimits) {
    callerConfiguration.setRequestHeaderSize(newLimits.maxHeaderBytes());
    long idleTimeoutMillis = idleTimeout.applyAsLong(newLimits.idleTimeoutMillis());
    callerConnector.setIdleTimeout(idleTimeoutMillis);
    callerConnector
        .getConnectedEndPoints()
        .forEach(endPoint -> endPoint.setIdleTimeout(idleTimeoutMillis));
  }

  /**
   * Closes the callers' port and connections: those without a request at once, and the others once
   * their response has been written. From then on no request is read that nobody would answer.
   *
   * @param timeoutMillis the time after which the remaining connections are closed as well (ms)
   * @return the number of responses that were not finished
   */
  public int closeCallerConnections(long timeoutMillis) throws InterruptedException {
    callerConnector.close();
    long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
    closeCallerConnections(endPoint -> !responding.contains(endPoint));
    while (!callerConnector.getConnectedEndPoints().isEmpty() && endNanos - System.nanoTime() > 0) {
      TimeUnit.MILLISECONDS.sleep(CLOSE_CHECK_MILLIS);
      closeCallerConnections(endPoint -> !responding.contains(endPoint));
    }
    int unfinished = responding.size();
    closeCallerConnections(endPoint -> true);
    return unfinished;
  }

  private void closeCallerConnections(Predicate<EndPoint> closed) {
    callerConnector.getConnectedEndPoints().stream().filter(closed).forEach(EndPoint::close);
  }

  @Override
  public void close() throws Exception {
    server.stop();
  }

  private static HttpConfiguration configuration() {
    HttpConfiguration http = new HttpConfiguration();
    http.setSendServerVersion(false);
    http.setSendDateHeader(false);
    // Paths are forwarded unchanged; a path that a file server considers ambiguous is a plain name
    // here.
    http.setUriCompliance(UriCompliance.UNSAFE);
    return http;
  }

  private ServerConnector connector(String ip, int port, HttpConfiguration http) {
    ServerConnector connector = new CallerConnector(server, new HttpConnectionFactory(http));
    connector.setHost(ip);
    connector.setPort(port);
    connector.setAcceptQueueSize(ACCEPT_QUEUE);
    connector.setReuseAddress(true);
    server.addConnector(connector);
    return connector;
  }

  /** Creates connections that detect whether their caller has disconnected. */
  private static final class CallerConnector extends ServerConnector {
    CallerConnector(Server server, ConnectionFactory http) {
      super(server, 1, 1, http);
    }

    @Override
    protected SocketChannelEndPoint newEndPoint(
        SocketChannel channel, ManagedSelector selector, SelectionKey key) {
      CallerEndPoint endPoint = new CallerEndPoint(channel, selector, key, getScheduler());
      endPoint.setIdleTimeout(getIdleTimeout());
      return endPoint;
    }
  }

  /** Handles a request according to the port on which it arrived. */
  private final class PortHandler extends Handler.Abstract.NonBlocking {

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
      int port = Request.getLocalPort(request);
      if (port == readinessPort) {
        readiness(response, callback);
      } else if (port == addressPort) {
        addresses(request, response, callback);
      } else if (port == metricsPort) {
        String page = operatorPage.apply(request.getHttpURI().getPath());
        response.write(true, ByteBuffer.wrap(page.getBytes(UTF_8)), callback);
      } else {
        readRequest(request, response, callback);
      }
      return true;
    }

    private void readiness(Response response, Callback callback) {
      boolean isReady = ready.getAsBoolean();
      response.setStatus(isReady ? HttpStatus.OK_200 : HttpStatus.SERVICE_UNAVAILABLE_503);
      response.write(true, ByteBuffer.allocate(0), callback);
    }

    private void addresses(Request request, Response response, Callback callback) {
      if (!AddressProtocol.ADDRESS_PATH.equals(request.getHttpURI().getPath())) {
        Response.writeError(request, response, callback, HttpStatus.NOT_FOUND_404);
        return;
      }
      List<String> currentAddresses = addresses.get();
      if (currentAddresses.isEmpty()) {
        response.setStatus(HttpStatus.SERVICE_UNAVAILABLE_503);
        response.write(true, ByteBuffer.allocate(0), callback);
        return;
      }
      response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
      byte[] body = addressDialect.encodeAddresses(currentAddresses, addressTtlMillis);
      response.write(true, ByteBuffer.wrap(body), callback);
    }

    private void readRequest(Request request, Response response, Callback callback) {
      EndPoint endPoint = request.getConnectionMetaData().getConnection().getEndPoint();
      responding.add(endPoint);
      Request.addCompletionListener(request, failure -> responding.remove(endPoint));
      new BodyReader(
              request,
              limits.get().maxBodyBytes(),
              body ->
                  requestHandler.accept(new HttpCallerExchange(request, response, callback, body)),
              () -> rejectBody(request, response, callback),
              callback::failed)
          .read();
    }

    private void rejectBody(Request request, Response response, Callback callback) {
      response.getHeaders().put(HttpHeader.CONNECTION, "close");
      HttpCallerExchange exchange =
          new HttpCallerExchange(request, response, callback, new byte[0]);
      exchange.respond(
          HttpStatus.PAYLOAD_TOO_LARGE_413,
          HttpFields.EMPTY,
          "the request body exceeds the size limit");
    }
  }
}
