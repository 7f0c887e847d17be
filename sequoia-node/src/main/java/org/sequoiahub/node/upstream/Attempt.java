package org.sequoiahub.node.upstream;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.ConnectException;
import java.nio.ByteBuffer;
import java.util.concurrent.atomic.AtomicBoolean;
import org.eclipse.jetty.client.HttpResponseException;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.util.BufferUtil;
import org.sequoiahub.usersplatform.HeaderCodec;
import org.sequoiahub.usersplatform.HeaderCodec.ResponseHeaders;

/** One request at one runner. */
public final class Attempt {

  /** Largest answer that is held until it is whole (bytes); the users' plain answers are below. */
  private static final int MAX_HELD_BYTES = 8 << 20;

  /** Characters of a library's message that are kept. */
  private static final int MAX_REASON = 60;

  private final Request request;
  private final String requestId;
  private final boolean stream;
  private final AttemptListener listener;
  private final ByteArrayOutputStream held = new ByteArrayOutputStream();
  private final AtomicBoolean ended = new AtomicBoolean();
  private volatile boolean handedOn;
  private volatile boolean streaming;
  private volatile boolean streamHeadTold;
  private HttpFields answerHeaders = HttpFields.EMPTY;

  Attempt(Request request, String requestId, boolean stream, AttemptListener listener) {
    this.request = request;
    this.requestId = requestId;
    this.stream = stream;
    this.listener = listener;
  }

  void send() {
    request
        .onRequestBegin(sent -> handedOn = true)
        .onResponseHeaders(this::headers)
        .onResponseContent(this::content)
        .send(this::complete);
  }

  /** Gives the attempt up and closes its connection, which tells the runner to stop. */
  public void cancel(String why) {
    if (ended.compareAndSet(false, true)) {
      request.abort(new IOException(why));
    }
  }

  /** Returns whether the runner may have received the request. */
  public boolean isHandedOn() {
    return handedOn;
  }

  private void headers(Response response) {
    ResponseHeaders answer =
        HeaderCodec.decodeResponse(response.getStatus(), response.getHeaders());
    // A runner may send a second answer to an earlier request, where ours is due. Its id tells.
    if (!answer.requestId().isEmpty() && !answer.requestId().equals(requestId)) {
      end(new Outcome.Lost("answer to another request", false));
      request.abort(new IOException("answer to another request"));
      return;
    }
    boolean good = HttpStatus.isSuccess(response.getStatus());
    if (good && (!answer.intact() || answer.requestId().isEmpty())) {
      end(new Outcome.Lost("answer without digest or id", false));
      request.abort(new IOException("answer without digest or id"));
      return;
    }
    answerHeaders = response.getHeaders();
    streaming = stream && good;
  }

  private void content(Response response, ByteBuffer content) {
    if (ended.get()) {
      return;
    }
    if (!streaming) {
      byte[] piece = BufferUtil.toArray(content);
      if (held.size() + piece.length > MAX_HELD_BYTES) {
        end(new Outcome.Lost("answer too large", false));
        request.abort(new IOException("answer too large"));
        return;
      }
      held.write(piece, 0, piece.length);
      return;
    }
    if (!streamHeadTold) {
      streamHeadTold = true;
      listener.streamStarted(response.getStatus(), HeaderCodec.toCaller(answerHeaders));
    }
    listener.streamPiece(ByteBuffer.wrap(BufferUtil.toArray(content)));
  }

  private void complete(Result result) {
    if (result.isFailed()) {
      Throwable failure = result.getFailure();
      String why = brief(failure);
      // Bytes that are no answer say that the runner's process was there to send them.
      boolean broke = !(failure instanceof HttpResponseException);
      boolean refused = failure instanceof ConnectException;
      end(handedOn ? new Outcome.Lost(why, broke) : new Outcome.NotSent(why, refused));
      return;
    }
    int status = result.getResponse().getStatus();
    if (streaming) {
      if (!streamHeadTold) {
        listener.streamStarted(status, HeaderCodec.toCaller(answerHeaders));
      }
      end(new Outcome.StreamEnded());
    } else if (HeaderCodec.decodeResponse(status, answerHeaders).notRun()) {
      end(new Outcome.Refused(status));
    } else {
      end(new Outcome.Answered(status, HeaderCodec.toCaller(answerHeaders), held.toByteArray()));
    }
  }

  /** The library's messages hold its whole state; the first words say what happened. */
  private static String brief(Throwable failure) {
    String text = String.valueOf(failure);
    return text.length() <= MAX_REASON ? text : text.substring(0, MAX_REASON);
  }

  private void end(Outcome outcome) {
    if (ended.compareAndSet(false, true)) {
      listener.ended(outcome);
    }
  }
}
