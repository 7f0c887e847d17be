package org.sequoiahub.node.forward;

import java.nio.ByteBuffer;
import org.eclipse.jetty.http.HttpFields;
import org.sequoiahub.node.caller.CallerExchange;

/** A caller's request whose response is dropped. */
record StubExchange(
    String method, String pathAndQuery, String host, HttpFields headers, byte[] body)
    implements CallerExchange {

  @Override
  public String path() {
    return pathAndQuery.split("\\?", 2)[0];
  }

  @Override
  public String callerIp() {
    return "10.9.9.9";
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
