package org.sequoiahub.node.caller;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.http.HttpVersion;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.QuietException;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.sequoiahub.core.verdict.Verdict;
import org.sequoiahub.runtime.http.ChunkWriter;

/** A request that a caller sent to this host over HTTP. */
public final class HttpCallerExchange implements CallerExchange {

  private static final String CHUNKED = "chunked";

  private final Request request;
  private final Response response;
  private final Callback callback;
  private final byte[] body;
  private final ChunkWriter writer;
  private boolean started;
  private boolean ended;
  private boolean closeConnection;

  /** Whether an orderly end of the connection would mark the end of the response. */
  private volatile boolean endsWithConnection;

  /** Creates an exchange for a request whose body has been read. */
  public HttpCallerExchange(Request request, Response response, Callback callback, byte[] body) {
    this.request = request;
    this.response = response;
    this.callback = callback;
    this.body = body;
    this.writer = new ChunkWriter(response, callback);
  }

  @Override
  public String method() {
    return request.getMethod();
  }

  @Override
  public String pathAndQuery() {
    return request.getHttpURI().getPathQuery();
  }

  @Override
  public String path() {
    return request.getHttpURI().getPath();
  }

  @Override
  public String host() {
    String host = Request.getServerName(request);
    return host == null ? "" : host;
  }

  @Override
  public String callerIp() {
    return Request.getRemoteAddr(request);
  }

  @Override
  public HttpFields headers() {
    return request.getHeaders();
  }

  @Override
  public byte[] body() {
    return body;
  }

  @Override
  public boolean isCallerDisconnected() {
    if (writer.isAborted()) {
      return true;
    }
    EndPoint endPoint = request.getConnectionMetaData().getConnection().getEndPoint();
    return endPoint instanceof CallerEndPoint caller
        ? caller.isCallerDisconnected()
        : !endPoint.isOpen();
  }

  @Override
  public synchronized void closeConnectionAfterResponse() {
    closeConnection = true;
  }

  @Override
  public void respond(int status, HttpFields headers, byte[] content) {
    boolean unproved = CallerExchange.guaranteesNotRun(status);
    send(unproved ? HttpStatus.BAD_GATEWAY_502 : status, headers, content);
  }

  @Override
  public void reject(Verdict.NotRun evidence, int status, HttpFields headers, byte[] content) {
    send(status, headers, content);
  }

  private void send(int status, HttpFields headers, byte[] content) {
    boolean begun;
    synchronized (this) {
      if (ended) {
        return;
      }
      begun = started;
      if (!begun) {
        started = true;
        ended = true;
        writeHead(status, headers);
      }
    }
    if (begun) {
      abort("the response that has begun ends with status " + status);
      return;
    }
    response.write(true, ByteBuffer.wrap(content), callback);
  }

  @Override
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
    } else {
      endsWithConnection = true;
    }
  }

  @Override
  public boolean writeChunk(ByteBuffer bytes) {
    synchronized (this) {
      if (!started || ended) {
        return false;
      }
    }
    return writer.write(bytes, false);
  }

  @Override
  public void complete() {
    synchronized (this) {
      if (!started || ended) {
        return;
      }
      ended = true;
    }
    writer.write(ByteBuffer.allocate(0), true);
  }

  @Override
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
    if (endsWithConnection && endPoint instanceof CallerEndPoint caller) {
      // The server would close the connection in order once the callback fails.
      caller.closeWithReset();
    }
    writer.abort(new AbortedException(reason));
    endPoint.close();
  }

  @Override
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

  /** Reports an abort to the server, which logs it without a stack trace. */
  private static final class AbortedException extends IOException implements QuietException {
    private static final long serialVersionUID = 1;

    AbortedException(String reason) {
      super(reason);
    }
  }
}
