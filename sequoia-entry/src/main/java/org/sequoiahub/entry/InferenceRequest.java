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

/**
 * The state of one inference request of a caller, across all its runs and attempts.
 *
 * <p>A run assigns the request to a runner; an attempt sends a run to a dispatcher. A run may take
 * several attempts, and a request several runs.
 */
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

  /** Returns whether the runner has started the current run. */
  boolean isStarted() {
    return started;
  }

  void markStarted() {
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

  /** Begins a run on the given runner. The chunks of a new run are numbered from 1 again. */
  void beginRun(Runner chosen) {
    runner = chosen;
    runs++;
    started = false;
    sequencer = new ChunkSequencer(0, MAX_CHUNKS_AHEAD);
    excludedHosts.clear();
  }

  /** Begins an attempt through the dispatcher on the given host and returns its number. */
  int beginAttempt(String dispatcherHost) {
    host = dispatcherHost;
    return ++attempt;
  }

  void incrementResumes() {
    resumes++;
  }

  void setCall(WireClient newClient, long newCallNumber) {
    client = newClient;
    callNumber = newCallNumber;
  }

  /** Returns true on the first invocation only, so that cancellation is requested once. */
  boolean markCancelRequested() {
    boolean first = !cancelRequested;
    cancelRequested = true;
    return first;
  }

  /** Ends the current call to the dispatcher, if any; its later messages are ignored. */
  void endCall() {
    if (client != null) {
      client.endCall(callNumber);
      client = null;
    }
  }

  @Nullable WireClient client() {
    return client;
  }

  long callNumber() {
    return callNumber;
  }

  InferenceCall.Builder newInferenceCall(
      long remainingMillis, boolean fallback, String traceparent) {
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

  /**
   * Accepts a chunk and passes all chunks that are now in order on to the caller.
   *
   * @return false if the caller is gone or reads too slowly
   */
  boolean acceptChunk(long sequence, byte[] data) {
    List<byte[]> ready = sequencer.accept(sequence, data);
    for (byte[] next : ready) {
      if (!streamed) {
        assembler.add(next);
      } else if (!caller.reply().sendEvent(next)) {
        return false;
      }
    }
    return !caller.reply().isBroken();
  }

  /**
   * Accepts the end marker.
   *
   * @param chunks the number of chunks in the whole answer
   * @return whether the answer is complete
   */
  boolean acceptEnd(long chunks) {
    sequencer.end(chunks);
    return sequencer.isComplete();
  }

  /** Completes the caller's answer, all chunks of which must have been accepted. */
  void completeAnswer() {
    if (streamed) {
      caller.reply().completeEvents();
    } else {
      caller.reply().sendJson(200, assembler.answer());
    }
  }

  /** Combines an attempt's verdict with those of earlier attempts and returns the result. */
  Verdict combineVerdict(Verdict attemptVerdict) {
    Verdict combined = verdict == null ? attemptVerdict : verdict.combinedWith(attemptVerdict);
    verdict = combined;
    return combined;
  }
}
