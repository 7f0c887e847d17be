package org.sequoiahub.entry;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.sequoiahub.core.fleet.Fleet.Runner;
import org.sequoiahub.core.record.AdapterVersion;
import org.sequoiahub.core.record.Priority;
import org.sequoiahub.core.route.Resolution.Resolved;
import org.sequoiahub.core.stream.ChunkSequencer;
import org.sequoiahub.core.verdict.Verdict;
import org.sequoiahub.schema.wire.InferenceCall;
import org.sequoiahub.wire.WireClient;

/** One inference request of a caller, across all its attempts. */
final class InferenceRequest {

  private static final int MAX_CHUNKS_AHEAD = 1_024;

  private final long number;
  private final CallerContext caller;
  private final String path;
  private final Resolved resolved;
  private final byte[] engineBody;
  private final boolean streamed;
  private final AnswerAssembler assembler;
  private final long deadlineMillis;
  private final Set<String> excludedRunners = new HashSet<>();
  private final Set<String> excludedHosts = new HashSet<>();
  private ChunkSequencer sequencer = new ChunkSequencer(0, MAX_CHUNKS_AHEAD);
  private int attempt;
  private int runs;
  private int resumes;
  private @Nullable Runner runner;
  private @Nullable String host;
  private @Nullable WireClient client;
  private long callNumber;
  private boolean started;
  private boolean cancelRequested;
  private @Nullable Verdict verdict;

  InferenceRequest(
      long number,
      CallerContext caller,
      String path,
      Resolved resolved,
      InferenceBody body,
      long deadlineMillis) {
    this.number = number;
    this.caller = caller;
    this.path = path;
    this.resolved = resolved;
    this.engineBody = body.forEngine(resolved.adapter());
    this.streamed = body.wantsStream();
    this.assembler = new AnswerAssembler(path.contains("chat"));
    this.deadlineMillis = deadlineMillis;
  }

  long number() {
    return number;
  }

  CallerContext caller() {
    return caller;
  }

  AdapterVersion adapter() {
    return resolved.adapter();
  }

  Resolved resolved() {
    return resolved;
  }

  long deadlineMillis() {
    return deadlineMillis;
  }

  int attempt() {
    return attempt;
  }

  int resumes() {
    return resumes;
  }

  @Nullable Runner runner() {
    return runner;
  }

  @Nullable String host() {
    return host;
  }

  boolean isStarted() {
    return started;
  }

  void started() {
    started = true;
  }

  long deliveredChunks() {
    return sequencer.delivered();
  }

  Set<String> excludedRunners() {
    return excludedRunners;
  }

  Set<String> excludedHosts() {
    return excludedHosts;
  }

  /** Begins a run on a runner; a new run's chunks are numbered from 1 again. */
  void beginRun(Runner chosen) {
    runner = chosen;
    runs++;
    started = false;
    sequencer = new ChunkSequencer(0, MAX_CHUNKS_AHEAD);
    excludedHosts.clear();
  }

  /** Begins an attempt to reach the run through a dispatcher and returns the attempt's number. */
  int beginAttempt(String throughHost) {
    host = throughHost;
    return ++attempt;
  }

  void incrementResumes() {
    resumes++;
  }

  void setCall(WireClient through, long number) {
    client = through;
    callNumber = number;
  }

  /** Returns true the first time only: one cancel is enough. */
  boolean markCancelRequested() {
    boolean first = !cancelRequested;
    cancelRequested = true;
    return first;
  }

  /** Ends the present call: nothing more is wanted of it. */
  void endCall() {
    if (client != null) {
      client.end(callNumber);
      client = null;
    }
  }

  @Nullable WireClient client() {
    return client;
  }

  long callNumber() {
    return callNumber;
  }

  InferenceCall.Builder newInferenceCall(long remainingMillis, boolean fallback, String traceparent) {
    return InferenceCall.newBuilder()
        .setRequestId(caller.requestId() + "." + runs)
        .setAdapter(adapter().adapter())
        .setVersion(adapter().version())
        .setRecordRevision(resolved.revision())
        .setRunner(runner == null ? "" : runner.id())
        .setPath(path)
        .setRemainingMs(remainingMillis)
        .setInteractive(resolved.record().priority() == Priority.INTERACTIVE)
        .setFallback(fallback)
        .setMaxInFlight(resolved.record().maxInFlight())
        .setTraceparent(traceparent);
  }

  byte[] engineBody() {
    return engineBody;
  }

  /** Takes in a chunk and passes on what is in order; false if the caller is gone. */
  boolean acceptChunk(long sequence, byte[] data) {
    List<byte[]> ready = sequencer.accept(sequence, data);
    for (byte[] piece : ready) {
      if (!streamed) {
        assembler.add(piece);
      } else if (!caller.reply().sendEvent(piece)) {
        return false;
      }
    }
    return !caller.reply().isBroken();
  }

  /** Takes in the end marker; returns whether the answer is whole. */
  boolean acceptEnd(long chunks) {
    sequencer.end(chunks);
    return sequencer.isWhole();
  }

  /** Passes the end of a whole answer on. */
  void completeAnswer() {
    if (streamed) {
      caller.reply().completeEvents();
    } else {
      caller.reply().sendJson(200, assembler.answer());
    }
  }

  /** Adds what an attempt's end says about whether the request ran, and returns the sum. */
  Verdict combineVerdict(Verdict ofAttempt) {
    Verdict combined = verdict == null ? ofAttempt : verdict.combinedWith(ofAttempt);
    verdict = combined;
    return combined;
  }
}
