package org.sequoiahub.node.caller;

import java.nio.ByteBuffer;
import org.eclipse.jetty.http.HttpFields;
import org.sequoiahub.core.verdict.Verdict;

/** A caller's request whose response is dropped; tests override what they observe. */
public class StubExchange implements CallerExchange {

  private final String method;
  private final String pathAndQuery;
  private final HttpFields headers;
  private final byte[] body;

  /** Creates a request. */
  public StubExchange(String method, String pathAndQuery, HttpFields headers, byte[] body) {
    this.method = method;
    this.pathAndQuery = pathAndQuery;
    this.headers = headers;
    this.body = body.clone();
  }

  /** Creates a request without headers and body. */
  public StubExchange() {
    this("GET", "/p/q", HttpFields.EMPTY, new byte[0]);
  }

  @Override
  public String method() {
    return method;
  }

  @Override
  public String pathAndQuery() {
    return pathAndQuery;
  }

  @Override
  public String path() {
    return pathAndQuery.split("\\?", 2)[0];
  }

  @Override
  public String host() {
    return "h.example";
  }

  @Override
  public String callerIp() {
    return "10.9.9.9";
  }

  @Override
  public HttpFields headers() {
    return headers;
  }

  @Override
  public byte[] body() {
    return body.clone();
  }

  @Override
  public boolean isCallerDisconnected() {
    return false;
  }

  @Override
  public void closeConnectionAfterResponse() {}

  @Override
  public void respond(int status, HttpFields fields, byte[] content) {}

  @Override
  public void reject(Verdict.NotRun evidence, int status, HttpFields fields, byte[] content) {
    respond(status, fields, content);
  }

  @Override
  public void start(int status, HttpFields fields) {}

  @Override
  public boolean writeChunk(ByteBuffer bytes) {
    return true;
  }

  @Override
  public void complete() {}

  @Override
  public void abort(String reason) {}

  @Override
  public boolean isStarted() {
    return false;
  }
}
