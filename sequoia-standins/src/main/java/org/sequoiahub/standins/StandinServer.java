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

/** Base class of the stand-ins: an HTTP server on the loopback interface. */
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

  /** Handles one request and responds to it, on this thread or later. */
  abstract void handle(Exchange exchange) throws Exception;

  void start() throws Exception {
    server.start();
  }

  /** Returns the address as {@code host:port}. */
  String address() {
    return "127.0.0.1:" + connector.getLocalPort();
  }

  @Override
  public void close() throws Exception {
    server.stop();
  }

  /** A request together with its response. */
  record Exchange(Request request, Response response, Callback callback) {
    String path() {
      return Request.getPathInContext(request);
    }

    String method() {
      return request.getMethod();
    }

    /** Returns a header, or an empty string if the request has none of that name. */
    String header(String name) {
      String value = request.getHeaders().get(name);
      return value == null ? "" : value;
    }

    /** Returns a query parameter, or {@code defaultValue} if the request has none of that name. */
    String query(String name, String defaultValue) {
      String value = Request.extractQueryParameters(request).getValue(name);
      return value == null ? defaultValue : value;
    }

    byte[] body() throws IOException {
      return Content.Source.asByteArrayAsync(request, MAX_BODY_BYTES).join();
    }

    JsonNode json() throws IOException {
      return MAPPER.readTree(body());
    }

    /** Sends a JSON response; a {@code byte[]} body is sent as it is. */
    void respond(int status, Object body) throws IOException {
      response.setStatus(status);
      response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
      byte[] bytes = body instanceof byte[] raw ? raw : MAPPER.writeValueAsBytes(body);
      response.write(true, ByteBuffer.wrap(bytes), callback);
    }

    void respondWithError(int status, String message) throws IOException {
      respond(status, Map.of("error", message));
    }

    /** Closes the connection without a response. */
    void closeConnection() {
      request.getConnectionMetaData().getConnection().getEndPoint().close();
      callback.failed(new IOException("connection closed by the stand-in"));
    }
  }
}
