package org.sequoiahub.runtime.admin;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.json.MetricsModule;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.ByteBuffer;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/**
 * A read-only HTTP server for operators with the paths {@code /livez}, {@code /readyz}, {@code
 * /metrics} and {@code /status}.
 */
public final class AdminServer implements AutoCloseable {

  private static final int MAX_THREADS = 6;
  private static final int MIN_THREADS = 1;

  private final Server server;
  private final ServerConnector connector;
  private final ObjectMapper mapper = new ObjectMapper();
  private final MetricRegistry metrics;
  private final BooleanSupplier ready;
  private final Supplier<Map<String, Object>> status;

  /**
   * Creates the server; {@link #start} opens its port.
   *
   * @param address the IP address to listen on
   * @param port the port; 0 selects a free one
   * @param metrics the metrics shown by {@code /metrics}
   * @param ready whether the process is ready, for {@code /readyz}
   * @param status the status shown by {@code /status}
   */
  public AdminServer(
      String address,
      int port,
      MetricRegistry metrics,
      BooleanSupplier ready,
      Supplier<Map<String, Object>> status) {
    QueuedThreadPool threads = new QueuedThreadPool(MAX_THREADS, MIN_THREADS);
    threads.setName("admin");
    threads.setDaemon(true);
    this.server = new Server(threads);
    this.connector = new ServerConnector(server, 1, 1);
    this.connector.setHost(address);
    this.connector.setPort(port);
    this.server.addConnector(connector);
    this.metrics = metrics;
    this.ready = ready;
    this.status = status;
    this.mapper.registerModule(new MetricsModule(TimeUnit.SECONDS, TimeUnit.MILLISECONDS, false));
    this.server.setHandler(new AdminHandler());
  }

  /** Opens the port. */
  public void start() throws Exception {
    server.start();
  }

  /** Returns the open port. */
  public int port() {
    return connector.getLocalPort();
  }

  @Override
  public void close() throws Exception {
    server.stop();
  }

  private final class AdminHandler extends Handler.Abstract {

    @Override
    public boolean handle(Request request, Response response, Callback callback)
        throws JsonProcessingException {
      switch (Request.getPathInContext(request)) {
        case "/livez" -> respond(response, callback, HttpStatus.OK_200, Map.of("live", true));
        case "/readyz" -> {
          boolean isReady = ready.getAsBoolean();
          int code = isReady ? HttpStatus.OK_200 : HttpStatus.SERVICE_UNAVAILABLE_503;
          respond(response, callback, code, Map.of("ready", isReady));
        }
        case "/metrics" -> respond(response, callback, HttpStatus.OK_200, metrics);
        case "/status" -> respond(response, callback, HttpStatus.OK_200, status.get());
        default ->
            respond(
                response,
                callback,
                HttpStatus.NOT_FOUND_404,
                Map.of("error", "paths are /livez, /readyz, /metrics and /status"));
      }
      return true;
    }

    private void respond(Response response, Callback callback, int code, Object body)
        throws JsonProcessingException {
      byte[] json = mapper.writeValueAsBytes(body);
      response.setStatus(code);
      response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
      response.write(true, ByteBuffer.wrap(json), callback);
    }
  }
}
