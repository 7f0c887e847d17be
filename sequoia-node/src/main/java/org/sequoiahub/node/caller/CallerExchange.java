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
 * One caller's request, read whole, and its answer, which is given once.
 *
 * <p>Safe to use from any thread. A second answer is ignored, as a timeout and an upstream's answer
 * may meet.
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
  private boolean closing;

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

  /** Returns the IP number that the request came from. */
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
  public boolean callerGone() {
    if (writer.isAborted()) {
      return true;
    }
    EndPoint endPoint = request.getConnectionMetaData().getConnection().getEndPoint();
    return endPoint instanceof CallerEndPoint caller ? caller.callerGone() : !endPoint.isOpen();
  }

  /** Asks for the connection to be closed after this answer. */
  public synchronized void closeAfterwards() {
    closing = true;
  }

  /** Gives the whole answer. */
  public void answer(int status, HttpFields headers, byte[] content) {
    synchronized (this) {
      if (started || ended) {
        return;
      }
      started = true;
      ended = true;
      head(status, headers);
    }
    response.write(true, ByteBuffer.wrap(content), callback);
  }

  /** Gives an answer of our own, with a text for people. */
  public void answer(int status, HttpFields headers, String text) {
    answer(status, headers, (text + "\n").getBytes(UTF_8));
  }

  /** Starts an answer whose pieces follow. */
  public synchronized void start(int status, HttpFields headers) {
    if (started || ended) {
      return;
    }
    started = true;
    head(status, headers);
    if (request.getConnectionMetaData().getHttpVersion() == HttpVersion.HTTP_1_1) {
      // Without this, the library lets an answer on a connection that is to be closed end with the
      // connection: were the process killed in the middle of a stream, the half that came would
      // look whole.
      response.getHeaders().put(HttpHeader.TRANSFER_ENCODING, CHUNKED);
    }
  }

  /** Passes on a piece; false if the caller is gone. */
  public boolean piece(ByteBuffer bytes) {
    synchronized (this) {
      if (!started || ended) {
        return false;
      }
    }
    return writer.write(bytes, false);
  }

  /** Ends an answer that was started: it is complete. */
  public void end() {
    synchronized (this) {
      if (!started || ended) {
        return;
      }
      ended = true;
    }
    writer.write(ByteBuffer.allocate(0), true);
  }

  /** Ends an answer without completing it, so that the caller sees that it is cut. */
  public void breakOff(String why) {
    synchronized (this) {
      if (ended) {
        return;
      }
      ended = true;
      started = true;
    }
    // Failing the callback would wait for a piece that a silent caller never takes.
    EndPoint endPoint = request.getConnectionMetaData().getConnection().getEndPoint();
    writer.abort(new IOException(why));
    endPoint.close();
  }

  /** Returns whether the first byte of the answer may have been sent. */
  public synchronized boolean isStarted() {
    return started;
  }

  private void head(int status, HttpFields headers) {
    response.setStatus(status);
    response.getHeaders().add(headers);
    if (closing) {
      response.getHeaders().put(HttpHeader.CONNECTION, "close");
    }
  }
}
