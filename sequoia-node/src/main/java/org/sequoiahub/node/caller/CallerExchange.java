package org.sequoiahub.node.caller;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpVersion;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.sequoiahub.runtime.http.ChunkWriter;

/**
 * One caller's request with its complete body, and its response, which is sent once.
 *
 * <p>Thread-safe. A second response is ignored, since a timeout and the response of an upstream may
 * coincide.
 */
public final class CallerExchange {

  private static final String CHUNKED = "chunked";

  private final Request request;
  private final Response response;
  private final Callback callback;
  private final byte[] body;
  private final ChunkWriter writer;
  private boolean started;
  private boolean ended;
  private boolean closeConnection;

  /** Creates an exchange for a request whose body has been read. */
  public CallerExchange(Request request, Response response, Callback callback, byte[] body) {
    this.request = request;
    this.response = response;
    this.callback = callback;
    this.body = body;
    this.writer = new ChunkWriter(response, callback);
  }

  /** Returns the request's method. */
  public String method() {
    return request.getMethod();
  }

  /** Returns the path and query as the caller sent them. */
  public String pathAndQuery() {
    return request.getHttpURI().getPathQuery();
  }

  /** Returns the path as the caller sent it. */
  public String path() {
    return request.getHttpURI().getPath();
  }

  /** Returns the host name that the caller used, without a port. */
  public String host() {
    String host = Request.getServerName(request);
    return host == null ? "" : host;
  }

  /** Returns the IP address that the request came from. */
  public String callerIp() {
    return Request.getRemoteAddr(request);
  }

  /** Returns the request's headers. */
  public HttpFields headers() {
    return request.getHeaders();
  }

  /** Returns the request's body. */
  public byte[] body() {
    return body;
  }

  /** Returns whether the caller has closed its connection. */
  public boolean isCallerDisconnected() {
    if (writer.isAborted()) {
      return true;
    }
    EndPoint endPoint = request.getConnectionMetaData().getConnection().getEndPoint();
    return endPoint instanceof CallerEndPoint caller
        ? caller.isCallerDisconnected()
        : !endPoint.isOpen();
  }

  /** Requests that the connection is closed after this response. */
  public synchronized void closeConnectionAfterResponse() {
    closeConnection = true;
  }

  /** Sends a complete response. */
  public void respond(int status, HttpFields headers, byte[] content) {
    synchronized (this) {
      if (started || ended) {
        return;
      }
      started = true;
      ended = true;
      writeHead(status, headers);
    }
    response.write(true, ByteBuffer.wrap(content), callback);
  }

  /** Sends a complete response with a line of text for a human reader. */
  public void respond(int status, HttpFields headers, String text) {
    respond(status, headers, (text + "\n").getBytes(UTF_8));
  }

  /** Starts a response whose content follows in chunks. */
  public synchronized void start(int status, HttpFields headers) {
    if (started || ended) {
      return;
    }
    started = true;
    writeHead(status, headers);
    if (request.getConnectionMetaData().getHttpVersion() == HttpVersion.HTTP_1_1) {
      // Otherwise Jetty delimits a response by the end of the connection if that is to be closed.
      // If the process were then killed during a stream, the truncated response would look
      // complete.
      response.getHeaders().put(HttpHeader.TRANSFER_ENCODING, CHUNKED);
    }
  }

  /** Writes a chunk of a response that was started; false if the caller has disconnected. */
  public boolean writeChunk(ByteBuffer bytes) {
    synchronized (this) {
      if (!started || ended) {
        return false;
      }
    }
    return writer.write(bytes, false);
  }

  /** Completes a response that was started. */
  public void complete() {
    synchronized (this) {
      if (!started || ended) {
        return;
      }
      ended = true;
    }
    writer.write(ByteBuffer.allocate(0), true);
  }

  /** Ends a response without completing it, so that the caller detects that it is truncated. */
  public void abort(String reason) {
    synchronized (this) {
      if (ended) {
        return;
      }
      ended = true;
      started = true;
    }
    // Failing the callback would wait for a chunk that an unresponsive caller never reads.
    EndPoint endPoint = request.getConnectionMetaData().getConnection().getEndPoint();
    writer.abort(new IOException(reason));
    endPoint.close();
  }

  /** Returns whether the first byte of the response may have been sent. */
  public synchronized boolean isStarted() {
    return started;
  }

  private void writeHead(int status, HttpFields headers) {
    response.setStatus(status);
    response.getHeaders().add(headers);
    if (closeConnection) {
      response.getHeaders().put(HttpHeader.CONNECTION, "close");
    }
  }
}
