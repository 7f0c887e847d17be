package org.sequoiahub.entry;

import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.sequoiahub.core.verdict.Verdict.NotRun;
import org.sequoiahub.schema.wire.Outcome;
import org.sequoiahub.schema.wire.RunVerdict;

/**
 * Formats the errors that the HTTP server raises itself, such as for headers that are too long, in
 * the same way as all other errors, so that they carry a verdict too.
 */
final class EntryErrorHandler implements Request.Handler {

  @Override
  public boolean handle(Request request, Response response, Callback callback) {
    int status = response.getStatus();
    Reply reply = new Reply(response, callback);
    if (HttpStatus.isClientError(status)) {
      // The server refused the request while reading it, so it was never passed to a handler.
      reply.sendNotRun(status, new NotRun("bad-request", HttpStatus.getMessage(status), 0));
    } else {
      reply.sendFailure(
          Outcome.newBuilder()
              .setVerdict(RunVerdict.MAY_HAVE_RUN)
              .setStatus(status)
              .setReason("defect")
              .setMessage(HttpStatus.getMessage(status))
              .build());
    }
    return true;
  }
}
