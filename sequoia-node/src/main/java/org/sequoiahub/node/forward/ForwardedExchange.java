package org.sequoiahub.node.forward;

import com.google.protobuf.ByteString;
import java.nio.ByteBuffer;
import org.eclipse.jetty.http.HttpFields;
import org.sequoiahub.core.upstream.SoftwareVersion;
import org.sequoiahub.core.verdict.Verdict;
import org.sequoiahub.node.caller.CallerExchange;
import org.sequoiahub.schema.wire.Chunk;
import org.sequoiahub.schema.wire.Envelope;
import org.sequoiahub.schema.wire.ForwardedRequest;
import org.sequoiahub.schema.wire.Outcome;
import org.sequoiahub.schema.wire.RunVerdict;
import org.sequoiahub.usersplatform.HeaderCodec;
import org.sequoiahub.wire.WireConnection;

/**
 * A caller's request that another host has passed on to this one, and answers over its connection.
 */
final class ForwardedExchange implements CallerExchange {

  private final WireConnection connection;
  private final long call;
  private final String fromIp;
  private final ForwardedRequest request;
  private final HttpFields headers;
  private final byte[] body;
  private boolean started;
  private boolean ended;
  private long chunks;
  private String streamVersion = "";
  private volatile boolean cancelled;

  ForwardedExchange(WireConnection connection, long call, String fromIp, ForwardedRequest request) {
    this.connection = connection;
    this.call = call;
    this.fromIp = fromIp;
    this.request = request;
    this.headers =
        HeaderCodec.passedOn(
            HeaderFields.decode(request.getHeadersList()),
            request.getRemainingMs(),
            request.getLastEventId());
    this.body = request.getBody().toByteArray();
  }

  /** Records that the caller has left, or that the host that passed the request on has. */
  void cancel() {
    cancelled = true;
  }

  /** Returns whether the response has ended. */
  synchronized boolean hasEnded() {
    return ended;
  }

  @Override
  public String method() {
    return request.getMethod();
  }

  @Override
  public String pathAndQuery() {
    return request.getPath();
  }

  @Override
  public String path() {
    int query = request.getPath().indexOf('?');
    return query < 0 ? request.getPath() : request.getPath().substring(0, query);
  }

  @Override
  public String host() {
    return request.getHost();
  }

  @Override
  public String callerIp() {
    return request.getCallerIp();
  }

  @Override
  public HttpFields headers() {
    return headers;
  }

  @Override
  public byte[] body() {
    return body;
  }

  @Override
  public Forwarding forwarding() {
    String version = request.getStreamVersion();
    return new Forwarding(
        fromIp, request.getPriorRuns(), version.isEmpty() ? null : SoftwareVersion.of(version));
  }

  @Override
  public boolean isCallerDisconnected() {
    return cancelled || !connection.isOpen();
  }

  @Override
  public void closeConnectionAfterResponse() {
    // The connection carries the requests of many callers.
  }

  @Override
  public void respond(int status, HttpFields fields, byte[] content) {
    RunVerdict verdict =
        HeaderCodec.isFromRunner(fields) ? RunVerdict.RAN : RunVerdict.MAY_HAVE_RUN;
    send(status, fields, content, verdict);
  }

  @Override
  public void reject(Verdict.NotRun evidence, int status, HttpFields fields, byte[] content) {
    send(status, fields, content, RunVerdict.NOT_RUN);
  }

  private synchronized void send(
      int status, HttpFields fields, byte[] content, RunVerdict verdict) {
    if (started) {
      abort("the response that has begun ends with status " + status);
      return;
    }
    started = true;
    sendHead(status, fields, true);
    sendChunk(ByteString.copyFrom(content));
    end(true, verdict);
  }

  @Override
  public synchronized void originatesAt(SoftwareVersion version) {
    streamVersion = version.name();
  }

  @Override
  public synchronized void start(int status, HttpFields fields) {
    if (started || ended) {
      return;
    }
    started = true;
    sendHead(status, fields, false);
  }

  @Override
  public synchronized boolean writeChunk(ByteBuffer bytes) {
    if (!started || ended) {
      return false;
    }
    if (!connection.isWritable()) {
      abort("the host that passed the request on reads too slowly");
      cancelled = true;
      return false;
    }
    sendChunk(ByteString.copyFrom(bytes));
    return true;
  }

  @Override
  public synchronized void complete() {
    if (started && !ended) {
      end(true, RunVerdict.RAN);
    }
  }

  @Override
  public synchronized void abort(String reason) {
    if (!ended) {
      started = true;
      end(false, RunVerdict.MAY_HAVE_RUN);
    }
  }

  @Override
  public synchronized boolean isStarted() {
    return started;
  }

  private void sendHead(int status, HttpFields fields, boolean whole) {
    connection.send(
        call,
        Envelope.newBuilder()
            .setHead(
                HeaderFields.head(status, fields, whole).toBuilder()
                    .setRunnerVersion(streamVersion)));
  }

  private void sendChunk(ByteString data) {
    connection.send(
        call,
        Envelope.newBuilder().setChunk(Chunk.newBuilder().setSequence(++chunks).setData(data)));
  }

  private void end(boolean complete, RunVerdict verdict) {
    ended = true;
    connection.send(
        call,
        Envelope.newBuilder()
            .setOutcome(
                Outcome.newBuilder().setComplete(complete).setVerdict(verdict).setChunks(chunks)));
  }
}
