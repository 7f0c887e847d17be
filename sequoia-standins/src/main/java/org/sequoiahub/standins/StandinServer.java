package org.sequoiahub.standins;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Map;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/** The HTTP server that each stand-in runs. */
abstract class StandinServer implements AutoCloseable {

  static final ObjectMapper MAPPER = new ObjectMapper();

  private static final int MAX_THREADS = 24;
  private static final int MIN_THREADS = 2;
  private static final int MAX_BODY_BYTES = 8 << 20;

  private final Server server;
  private final ServerConnector connector;

  StandinServer(int port) {
    QueuedThreadPool threads = new QueuedThreadPool(MAX_THREADS, MIN_THREADS);
    threads.setDaemon(true);
    server = new Server(threads);
    connector = new ServerConnector(server, 1, 1);
    connector.setHost("127.0.0.1");
    connector.setPort(port);
    connector.setIdleTimeout(600_000);
    server.addConnector(connector);
    server.setHandler(
        new Handler.Abstract() {
          @Override
          public boolean handle(Request request, Response response, Callback callback)
              throws Exception {
            StandinServer.this.handle(new Exchange(request, response, callback));
            return true;
          }
        });
  }

  /** Answers one request. */
  abstract void handle(Exchange exchange) throws Exception;

  void start() throws Exception {
    server.start();
  }

  /** Returns host:port. */
  String address() {
    return "127.0.0.1:" + connector.getLocalPort();
  }

  @Override
  public void close() throws Exception {
    server.stop();
  }

  /** One request and its answer. */
  record Exchange(Request request, Response response, Callback callback) {
    String path() {
      return Request.getPathInContext(request);
    }

    String method() {
      return request.getMethod();
    }

    String header(String name) {
      String value = request.getHeaders().get(name);
      return value == null ? "" : value;
    }

    String query(String name, String absent) {
      String value = Request.extractQueryParameters(request).getValue(name);
      return value == null ? absent : value;
    }

    byte[] body() throws IOException {
      return Content.Source.asByteArrayAsync(request, MAX_BODY_BYTES).join();
    }

    JsonNode json() throws IOException {
      return MAPPER.readTree(body());
    }

    void respond(int status, Object body) throws IOException {
      response.setStatus(status);
      response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
      byte[] bytes = body instanceof byte[] raw ? raw : MAPPER.writeValueAsBytes(body);
      response.write(true, ByteBuffer.wrap(bytes), callback);
    }

    void respondWithError(int status, String message) throws IOException {
      respond(status, Map.of("error", message));
    }

    /** Cuts the connection without an answer. */
    void closeConnection() {
      request.getConnectionMetaData().getConnection().getEndPoint().close();
      callback.failed(new IOException("cut"));
    }
  }
}
