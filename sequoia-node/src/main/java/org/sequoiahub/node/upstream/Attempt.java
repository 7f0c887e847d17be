package org.sequoiahub.node.upstream;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.net.ConnectException;
import java.net.SocketTimeoutException;
import java.nio.ByteBuffer;
import java.util.Objects;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.LongSupplier;
import org.eclipse.jetty.client.HttpResponseException;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.util.BufferUtil;
import org.jspecify.annotations.Nullable;
import org.sequoiahub.core.response.Completeness;
import org.sequoiahub.core.routing.RepeatPolicy;
import org.sequoiahub.core.verdict.Verdict;
import org.sequoiahub.runtime.http.ReceivedResponse;
import org.sequoiahub.runtime.http.SentRequest;
import org.sequoiahub.runtime.http.UnterminatedDataException;
import org.sequoiahub.usersplatform.HeaderCodec;
import org.sequoiahub.usersplatform.HeaderCodec.ResponseHeaders;

/** One attempt to send a request to a runner and to receive its response. */
public final class Attempt {

  /**
   * Maximum size of a response that is buffered until it is complete (bytes); the users' plain
   * responses are smaller.
   */
  private static final int MAX_BUFFERED_BYTES = 8 << 20;

  private static final String NO_MEMORY = "all responses exceed the memory for them";

  /** Maximum length of an exception's text in a reason (characters). */
  private static final int MAX_REASON_LENGTH = 60;

  private final Request request;
  private final String requestId;
  private final RepeatPolicy repeatPolicy;
  private final LongSupplier wallClock;
  private final AttemptListener listener;
  private final ResponseMemory.Share memory;
  private final ByteArrayOutputStream bufferedBody = new ByteArrayOutputStream();
  private final AtomicReference<Progress> progress = new AtomicReference<>(Progress.UNSENT);
  private final AtomicBoolean ended = new AtomicBoolean();

  /** The outcome that was reported to the listener; null before, and after a cancellation. */
  private volatile @Nullable Outcome reported;

  private volatile boolean streaming;
  private volatile boolean streamStartReported;
  private HttpFields responseHeaders = HttpFields.EMPTY;
  private boolean notRun;

  /** Whether the request may be on its way; the HTTP client and the caller race for it. */
  private enum Progress {
    /** The client has not begun to send it. */
    UNSENT,
    /** The client has begun to send it. */
    BEGUN,
    /** It was withdrawn before the client could begin, and will never be sent. */
    WITHDRAWN
  }

  Attempt(
      Request request,
      String requestId,
      RepeatPolicy repeatPolicy,
      LongSupplier wallClock,
      ResponseMemory memory,
      AttemptListener listener) {
    this.request = request;
    this.memory = memory.open();
    this.requestId = requestId;
    this.repeatPolicy = repeatPolicy;
    this.wallClock = wallClock;
    this.listener = listener;
  }

  void send() {
    request
        .onRequestBegin(
            sent -> {
              if (!progress.compareAndSet(Progress.UNSENT, Progress.BEGUN)) {
                SentRequest.closeConnection(sent);
                request.abort(new IOException("withdrawn"));
                return;
              }
              ReceivedResponse.restartUnframedLimit(sent);
            })
        .onResponseHeaders(this::handleHeaders)
        .onResponseContent(this::handleContent)
        .send(this::handleCompletion);
  }

  /**
   * Cancels the attempt and closes its connection, which tells the runner to stop. The listener is
   * not called for the end of a cancelled attempt.
   *
   * @return whether the runner may have received the request; a request that has not run will not
   */
  public Verdict cancel(String reason) {
    boolean withdrawn = withdraw();
    if (ended.compareAndSet(false, true)) {
      memory.close();
      request.abort(new IOException(reason));
    }
    Outcome outcome = reported;
    if (outcome != null) {
      return outcome.verdict();
    }
    return withdrawn
        ? new Verdict.NotRun("withdrawn", reason, 0)
        : new Verdict.MayHaveRun("cancelled", reason);
  }

  /**
   * Cancels the attempt if it still waits for a connection. Unlike after {@link #cancel}, the
   * listener is called for its end.
   */
  public void withdrawIfUnsent(String reason) {
    if (withdraw()) {
      request.abort(new IOException(reason));
    }
  }

  /** Returns whether the request is certain never to be sent, which this call ensures if it can. */
  private boolean withdraw() {
    return progress.compareAndSet(Progress.UNSENT, Progress.WITHDRAWN)
        || progress.get() == Progress.WITHDRAWN;
  }

  /**
   * Checks the headers of a response and ends the attempt if they cannot be trusted.
   *
   * <p>A successful response must have this request's id and be intact: it has the runner's digest
   * and no content encoding. The {@code false} in the outcomes states that the connection did not
   * break: the runner's process was still running to send the response.
   */
  private void handleHeaders(Response response) {
    ReceivedResponse.restartUnframedLimit(request);
    ResponseHeaders answer =
        HeaderCodec.decodeResponse(
            response.getStatus(), response.getHeaders(), wallClock.getAsLong());
    // A runner may send a second response to an earlier request on the same connection; the request
    // id identifies it.
    if (!answer.requestId().isEmpty() && !answer.requestId().equals(requestId)) {
      finish(new Outcome.ResponseLost("response has the id of another request", false));
      request.abort(new IOException("response has the id of another request"));
      return;
    }
    listener.signalsReceived(answer.signals());
    boolean successful = HttpStatus.isSuccess(response.getStatus());
    if (successful && (!answer.intact() || answer.requestId().isEmpty())) {
      finish(
          new Outcome.ResponseLost("response has no request id or digest, or is encoded", false));
      request.abort(new IOException("response has no request id or digest, or is encoded"));
      return;
    }
    responseHeaders = response.getHeaders();
    notRun = answer.notRun() && answer.requestId().equals(requestId);
    if (notRun && !repeatPolicy.allowsRerun()) {
      // A second copy of this refusal on the same connection could be taken for the response to the
      // next attempt at this request, which has the same id.
      finish(new Outcome.Refused(response.getStatus()));
      request.abort(new IOException("a refused request's connection is not used again"));
      return;
    }
    streaming = repeatPolicy.isStream() && successful;
  }

  private void handleContent(Response response, ByteBuffer content) {
    if (ended.get()) {
      return;
    }
    ReceivedResponse.restartUnframedLimit(request);
    if (!streaming) {
      byte[] bytes = BufferUtil.toArray(content);
      if (bufferedBody.size() + bytes.length > MAX_BUFFERED_BYTES) {
        finish(new Outcome.ResponseLost("response exceeds the maximum size", false));
        request.abort(new IOException("response exceeds the maximum size"));
        return;
      }
      if (!memory.grow(bytes.length)) {
        finish(new Outcome.ResponseLost(NO_MEMORY, false));
        request.abort(new IOException(NO_MEMORY));
        return;
      }
      bufferedBody.write(bytes, 0, bytes.length);
      return;
    }
    if (!streamStartReported) {
      streamStartReported = true;
      listener.streamStarted(response.getStatus(), HeaderCodec.toCaller(responseHeaders));
    }
    if (!listener.streamContent(ByteBuffer.wrap(BufferUtil.toArray(content)))) {
      finish(new Outcome.ResponseLost("an event exceeds the maximum size", false));
      request.abort(new IOException("an event exceeds the maximum size"));
    }
  }

  private void handleCompletion(Result result) {
    if (result.isFailed()) {
      Throwable failure = result.getFailure();
      String reason = abbreviate(failure);
      // An invalid response shows that the runner's process was still running to send it.
      boolean connectionBroken =
          !(failure instanceof HttpResponseException
              || failure instanceof UnterminatedDataException
              || (failure instanceof EOFException && !ReceivedResponse.mayBeEndedByPeer(request)));
      finish(
          withdraw()
              ? new Outcome.NotSent(reason, connect(failure))
              : new Outcome.ResponseLost(reason, connectionBroken));
      return;
    }
    Response response = result.getResponse();
    if (ReceivedResponse.completeness(response) instanceof Completeness.Truncated truncated) {
      finish(new Outcome.ResponseLost(truncated.reason(), true));
      return;
    }
    int status = response.getStatus();
    if (streaming) {
      if (!streamStartReported) {
        listener.streamStarted(status, HeaderCodec.toCaller(responseHeaders));
      }
      finish(new Outcome.StreamCompleted(ReceivedResponse.framing(response)));
    } else if (notRun) {
      finish(new Outcome.Refused(status));
    } else {
      finish(
          new Outcome.Answered(
              status,
              HeaderCodec.toCaller(responseHeaders),
              bufferedBody.toByteArray(),
              ReceivedResponse.framing(response)));
    }
  }

  private static Outcome.NotSent.Connect connect(Throwable failure) {
    if (failure instanceof ConnectException) {
      return Outcome.NotSent.Connect.REFUSED;
    }
    return failure instanceof SocketTimeoutException
        ? Outcome.NotSent.Connect.TIMED_OUT
        : Outcome.NotSent.Connect.NONE;
  }

  /**
   * Returns the beginning of an exception's text: the messages of the HTTP library contain its
   * whole state, but their first words say what happened.
   */
  private static String abbreviate(Throwable failure) {
    String text =
        failure instanceof UnterminatedDataException
            ? Objects.requireNonNullElse(failure.getMessage(), "")
            : String.valueOf(failure);
    return text.length() <= MAX_REASON_LENGTH ? text : text.substring(0, MAX_REASON_LENGTH);
  }

  private void finish(Outcome outcome) {
    if (ended.compareAndSet(false, true)) {
      memory.close();
      reported = outcome;
      listener.ended(outcome);
    }
  }
}
