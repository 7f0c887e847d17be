package org.sequoiahub.node.caller;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.nio.ByteBuffer;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.handler.ErrorHandler;
import org.eclipse.jetty.util.Callback;

/** Reports the status of a rejected request as one line of plain text, not as an HTML page. */
final class PlainErrorHandler extends ErrorHandler {

  @Override
  public boolean handle(Request request, Response response, Callback callback) {
    int status = response.getStatus();
    byte[] text = (status + " " + HttpStatus.getMessage(status) + "\n").getBytes(UTF_8);
    response.write(true, ByteBuffer.wrap(text), callback);
    return true;
  }
}
