package org.sequoiahub.dispatcher;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import com.google.protobuf.ByteString;
import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.SpanKind;
import io.opentelemetry.api.trace.StatusCode;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.sequoiahub.core.fleet.Fleet;
import org.sequoiahub.core.fleet.Fleet.Runner;
import org.sequoiahub.core.record.AdapterVersion;
import org.sequoiahub.core.record.Priority;
import org.sequoiahub.core.runner.Admission;
import org.sequoiahub.core.runner.RunnerRequest;
import org.sequoiahub.core.verdict.Verdict.MayHaveRun;
import org.sequoiahub.core.verdict.Verdict.NotRun;
import org.sequoiahub.platform.EngineClient;
import org.sequoiahub.platform.EngineStream;
import org.sequoiahub.runtime.log.EventLog;
import org.sequoiahub.runtime.trace.Tracing;
import org.sequoiahub.schema.settings.DispatcherSettings;
import org.sequoiahub.schema.wire.Admitted;
import org.sequoiahub.schema.wire.Chunk;
import org.sequoiahub.schema.wire.Envelope;
import org.sequoiahub.schema.wire.InferenceCall;
import org.sequoiahub.schema.wire.Outcome;
import org.sequoiahub.schema.wire.RunVerdict;
import org.sequoiahub.schema.wire.Started;
import org.sequoiahub.wire.WireConnection;

/** Runs the inference requests at this dispatcher and relays their response streams. */
final class JobScheduler implements OwnedRunnerController.RequestHandler {

  private static final int MAX_RESUMES = 5;
  private static final long CANCEL_TIMEOUT_MILLIS = 2_000;
  private static final long ORPHAN_TIMEOUT_MILLIS = 5_000;
  private static final long LIMIT_RETRY_AFTER_MILLIS = 500;
  private static final int NOT_FOUND = 404;

  private final DispatcherSettings settings;
  private final EngineClient engines;
  private final OwnedRunnerController runners;
  private final Consumer<DispatcherEvent> events;
  private final Tracing tracing;
  private final EventLog log;
  private final Map<String, Job> jobs = new HashMap<>();
  private final Map<String, Integer> inFlightByAdapter = new HashMap<>();
  private final Counter completed;
  private final Counter notRun;
  private final Counter incomplete;
  private final Counter resumes;
  private final Counter wrongAdapter;
  private final Counter staleEvents;
  private Fleet fleet = Fleet.EMPTY;
  private long nowMillis;

  JobScheduler(
      DispatcherSettings settings,
      EngineClient engines,
      OwnedRunnerController runners,
      Consumer<DispatcherEvent> events,
      Tracing tracing,
      MetricRegistry metrics,
      EventLog log) {
    this.settings = settings;
    this.engines = engines;
    this.runners = runners;
    this.events = events;
    this.tracing = tracing;
    this.log = log;
    this.completed = metrics.counter("requests.whole");
    this.notRun = metrics.counter("requests.not_run");
    this.incomplete = metrics.counter("requests.not_whole");
    this.resumes = metrics.counter("streams.resumed");
    this.wrongAdapter = metrics.counter("answers.wrong_adapter");
    this.staleEvents = metrics.counter("streams.stale_events");
  }

  void fleet(Fleet next) {
    fleet = next;
  }

  /** Sets the time at which the current event is handled. */
  void setNowMillis(long millis) {
    nowMillis = millis;
  }

  int size() {
    return jobs.size();
  }

  void handleInferenceCall(WireConnection connection, long call, InferenceCall message) {
    if (message.getResume()) {
      resume(connection, call, message);
      return;
    }
    AdapterVersion adapter = new AdapterVersion(message.getAdapter(), message.getVersion());
    RunnerRequest runnerRequest = toRunnerRequest(message, adapter);
    Optional<NotRun> limit = checkAdapterLimit(adapter, message.getMaxInFlight());
    if (limit.isPresent()) {
      refuseCall(connection, call, limit.get(), message.getRunner());
      return;
    }
    Span span = tracing.start("dispatcher.request", SpanKind.SERVER, message.getTraceparent());
    span.setAttribute("adapter", adapter.exactName()).setAttribute("runner", message.getRunner());
    OwnedRunner owner = runners.owned(message.getRunner());
    boolean resident = owner != null && owner.controller().isReady(adapter);
    // Registered before the offer, which may start the request immediately.
    Job job = new Job(message, runnerRequest, span, resident, connection, call, nowMillis);
    if (jobs.putIfAbsent(runnerRequest.id(), job) != null) {
      span.end();
      refuseCall(
          connection,
          call,
          new NotRun(
              "duplicate-request", "a request with this id is already in progress on this host", 0),
          message.getRunner());
      return;
    }
    inFlightByAdapter.merge(adapter.adapter(), 1, Integer::sum);
    Admission admission =
        runners.offer(message.getRunner(), runnerRequest, message.getFallback(), nowMillis);
    if (admission instanceof Admission.Rejected refused) {
      finish(job, Outcomes.of(refused.verdict()));
    } else if (admission instanceof Admission.Admitted admitted && jobs.containsKey(job.id())) {
      job.send(
          Envelope.newBuilder()
              .setAdmitted(
                  Admitted.newBuilder()
                      .setRunner(message.getRunner())
                      .setExpectedWaitMs(admitted.expectedWaitMillis())
                      .setResident(admitted.resident())));
    }
  }

  /** Cancels the request of a call, whose caller disconnected or whose deadline passed. */
  void handleCancel(WireConnection connection, long call) {
    findJob(connection, call).ifPresent(this::cancel);
  }

  /**
   * Marks the jobs of a closed connection as orphaned. They are cancelled unless they are resumed
   * on another connection within {@link #ORPHAN_TIMEOUT_MILLIS}.
   */
  void connectionClosed(WireConnection connection) {
    for (Job job : jobs.values()) {
      if (job.usesConnection(connection)) {
        job.markOrphaned(nowMillis);
      }
    }
  }

  @Override
  public void start(Runner runner, RunnerRequest request, long fencingNumber) {
    Job job = jobs.get(request.id());
    if (job == null) {
      OwnedRunner owner = runners.owned(runner.id());
      if (owner != null) {
        owner.controller().requestEnded(request.id(), nowMillis);
      }
      return;
    }
    job.markStarted();
    job.send(Envelope.newBuilder().setStarted(Started.newBuilder().setRunner(runner.id())));
    int streamNumber = job.nextStreamNumber(nowMillis);
    job.streamOpened(
        engines.start(
            runner.address(),
            job.request().getPath(),
            job.id(),
            job.request().getBody().toByteArray(),
            job.request().getInteractive(),
            fencingNumber,
            tracing.traceparent(job.span()),
            new StreamListener(job.id(), streamNumber)));
  }

  @Override
  public void refuse(RunnerRequest request, NotRun verdict) {
    Job job = jobs.get(request.id());
    if (job != null) {
      finish(job, Outcomes.of(verdict));
    }
  }

  @Override
  public void cancelRunning(Runner runner, RunnerRequest request) {
    engines.cancel(
        runner.address(),
        request.id(),
        CANCEL_TIMEOUT_MILLIS,
        confirmed -> events.accept(new DispatcherEvent.CancelAnswered(request.id(), confirmed)));
  }

  void chunkReceived(DispatcherEvent.ChunkReceived event) {
    Job job = findJobOfCurrentStream(event.request(), event.stream());
    if (job == null) {
      return;
    }
    if (!event.model().equals(job.adapter().exactName())) {
      wrongAdapter.inc();
      log.warning(
          "wrong-adapter",
          "request",
          job.id(),
          "asked",
          job.adapter().exactName(),
          "answered",
          event.model());
      abandonRunning(job);
      finish(
          job,
          Outcomes.ranButFailed(
              "wrong-adapter", "the engine answered with model '" + event.model() + "'"));
      return;
    }
    job.chunkReceived(nowMillis);
    long sequence = job.sequencer().delivered();
    for (byte[] data : job.sequencer().accept(event.sequence(), event.data())) {
      Chunk chunk =
          Chunk.newBuilder().setSequence(++sequence).setData(ByteString.copyFrom(data)).build();
      job.send(Envelope.newBuilder().setChunk(chunk));
    }
  }

  void endReceived(DispatcherEvent.EndReceived event) {
    Job job = findJobOfCurrentStream(event.request(), event.stream());
    if (job == null) {
      return;
    }
    job.sequencer().end(event.chunks());
    if (!job.sequencer().isComplete()) {
      resumeStream(job, "chunks are missing before the end marker");
      return;
    }
    withRunner(job, owner -> owner.controller().requestEnded(job.id(), nowMillis));
    finish(job, Outcomes.complete(event.chunks()));
  }

  void startRefused(DispatcherEvent.StartRefused event) {
    Job job = findJobOfCurrentStream(event.request(), event.stream());
    if (job == null) {
      return;
    }
    withRunner(job, owner -> owner.controller().requestEnded(job.id(), nowMillis));
    if (job.incrementResumes() > 1
        || job.request().getResume()
        || job.sequencer().delivered() > 0) {
      // A refused resume: the engine has lost the request, for example after a restart.
      finish(job, Outcomes.of(new MayHaveRun("engine-lost-request", event.message())));
    } else {
      String reason = event.status() == NOT_FOUND ? "adapter-not-loaded" : "engine-refused";
      finish(job, Outcomes.of(new NotRun(reason, event.message(), 1)));
    }
  }

  void streamFailed(DispatcherEvent.StreamFailed event) {
    Job job = findJobOfCurrentStream(event.request(), event.stream());
    if (job != null) {
      resumeStream(job, event.reason());
    }
  }

  void cancelAnswered(DispatcherEvent.CancelAnswered event) {
    Job job = jobs.get(event.request());
    if (job == null) {
      return;
    }
    if (event.confirmed()) {
      withRunner(job, owner -> owner.controller().requestEnded(job.id(), nowMillis));
      finish(job, Outcomes.ranButFailed("cancelled", "the request was cancelled"));
    } else {
      abandonRunning(job);
      finish(
          job,
          Outcomes.of(
              new MayHaveRun("cancel-unconfirmed", "the engine did not confirm the cancellation")));
    }
  }

  void tick() {
    for (Job job : List.copyOf(jobs.values())) {
      boolean silent =
          job.isStarted() && job.silentMillis(nowMillis) >= settings.getStreamSilenceMs();
      if (silent) {
        resumeStream(job, "the engine sent nothing for stream_silence_ms");
      } else if (job.isOrphanedFor(ORPHAN_TIMEOUT_MILLIS, nowMillis)) {
        cancel(job);
      } else if (job.isStarted() && nowMillis >= job.runnerRequest().deadlineMillis()) {
        cancel(job);
      }
    }
  }

  private RunnerRequest toRunnerRequest(InferenceCall message, AdapterVersion adapter) {
    long remaining = Math.min(message.getRemainingMs(), settings.getRequestLimitMs());
    return new RunnerRequest(
        message.getRequestId(),
        adapter,
        message.getInteractive() ? Priority.INTERACTIVE : Priority.BRIEF,
        nowMillis + remaining);
  }

  /**
   * Returns a refusal if the adapter's limit on requests in flight is reached. Entries send every
   * request for a limited adapter to its first candidate runner, so the count of this dispatcher
   * covers the whole fleet.
   */
  private Optional<NotRun> checkAdapterLimit(AdapterVersion adapter, int limit) {
    int inFlight = inFlightByAdapter.getOrDefault(adapter.adapter(), 0);
    return limit > 0 && inFlight >= limit
        ? Optional.of(
            new NotRun(
                "adapter-limit",
                "the adapter's max_in_flight limit is reached",
                LIMIT_RETRY_AFTER_MILLIS))
        : Optional.empty();
  }

  private void resume(WireConnection connection, long call, InferenceCall message) {
    Job job = jobs.get(message.getRequestId());
    if (job == null) {
      resumeUnknownJob(connection, call, message);
      return;
    }
    job.redirectTo(connection, call, message.getResumeAfter());
    if (job.isStarted()) {
      openResume(job);
    }
  }

  /** Resumes a request that a former owner of the runner started. */
  private void resumeUnknownJob(WireConnection connection, long call, InferenceCall message) {
    AdapterVersion adapter = new AdapterVersion(message.getAdapter(), message.getVersion());
    Span span = tracing.start("dispatcher.resume", SpanKind.SERVER, message.getTraceparent());
    Job job =
        new Job(
            message, toRunnerRequest(message, adapter), span, true, connection, call, nowMillis);
    jobs.put(job.id(), job);
    inFlightByAdapter.merge(adapter.adapter(), 1, Integer::sum);
    job.markStarted();
    withRunner(job, owner -> owner.controller().adoptRequest(job.runnerRequest(), nowMillis));
    openResume(job);
  }

  private void resumeStream(Job job, String reason) {
    if (job.incrementResumes() > MAX_RESUMES) {
      abandonRunning(job);
      finish(job, Outcomes.of(new MayHaveRun("stream-lost", reason)));
      return;
    }
    log.info(
        "stream-resumed",
        "request",
        job.id(),
        "after",
        job.sequencer().delivered(),
        "reason",
        reason);
    openResume(job);
  }

  private void openResume(Job job) {
    Optional<Runner> runner = fleet.runner(job.request().getRunner());
    if (runner.isEmpty()) {
      finish(
          job,
          Outcomes.of(
              new MayHaveRun(
                  "runner-gone", "the runner is no longer in the fleet known to this host")));
      return;
    }
    resumes.inc();
    int streamNumber = job.nextStreamNumber(nowMillis);
    job.streamOpened(
        engines.resume(
            runner.get().address(),
            job.id(),
            job.sequencer().delivered(),
            new StreamListener(job.id(), streamNumber)));
  }

  private void cancel(Job job) {
    if (job.isCancelled()) {
      return;
    }
    job.markCancelled();
    OwnedRunner owner = runners.owned(job.request().getRunner());
    if (owner != null && owner.controller().cancel(job.id())) {
      finish(job, Outcomes.of(notStartedVerdict(job)));
    } else if (owner != null) {
      runners.performActions(owner, nowMillis);
    } else {
      fleet
          .runner(job.request().getRunner())
          .ifPresent(runner -> cancelRunning(runner, job.runnerRequest()));
    }
  }

  private NotRun notStartedVerdict(Job job) {
    return nowMillis >= job.runnerRequest().deadlineMillis()
        ? new NotRun("deadline-passed", "the deadline passed before the request started", 1)
        : new NotRun("cancelled", "the request was cancelled before it started", 0);
  }

  /**
   * Abandons a running request that may not have stopped. It pins its adapter until the engine is
   * known to have stopped it.
   */
  private void abandonRunning(Job job) {
    withRunner(
        job,
        owner -> {
          owner.controller().requestUncertain(job.id(), nowMillis);
          if (!job.isCancelled()) {
            owner.controller().cancel(job.id());
          }
        });
  }

  private void withRunner(Job job, Consumer<OwnedRunner> action) {
    OwnedRunner owner = runners.owned(job.request().getRunner());
    if (owner != null) {
      action.accept(owner);
      runners.performActions(owner, nowMillis);
    }
  }

  private void finish(Job job, Outcome.Builder outcome) {
    if (jobs.remove(job.id()) == null) {
      return;
    }
    job.abandonStream();
    inFlightByAdapter.computeIfPresent(job.adapter().adapter(), (a, n) -> n > 1 ? n - 1 : null);
    OwnedRunner owner = runners.owned(job.request().getRunner());
    if (owner != null) {
      outcome.setExpectedWaitMs(owner.controller().expectedWaitMillis(job.adapter(), nowMillis));
    }
    outcome.setRunner(job.request().getRunner()).setResident(job.wasResident());
    job.send(Outcomes.envelope(outcome));
    countOutcome(outcome);
    job.span().setAttribute("verdict", outcome.getVerdict().name());
    job.span().setStatus(outcome.getComplete() ? StatusCode.OK : StatusCode.ERROR);
    job.span().end();
    log.debug(
        "request-ended",
        "request",
        job.id(),
        "verdict",
        outcome.getVerdict(),
        "reason",
        outcome.getReason());
  }

  private void countOutcome(Outcome.Builder outcome) {
    if (outcome.getComplete()) {
      completed.inc();
    } else if (outcome.getVerdict() == RunVerdict.NOT_RUN) {
      notRun.inc();
    } else {
      incomplete.inc();
    }
  }

  private void refuseCall(WireConnection connection, long call, NotRun verdict, String runner) {
    notRun.inc();
    connection.send(call, Outcomes.envelope(Outcomes.of(verdict).setRunner(runner)));
  }

  private Optional<Job> findJob(WireConnection connection, long call) {
    return jobs.values().stream().filter(job -> job.respondsTo(connection, call)).findFirst();
  }

  private @Nullable Job findJobOfCurrentStream(String request, int stream) {
    Job job = jobs.get(request);
    if (job == null || !job.isCurrentStream(stream)) {
      staleEvents.inc();
      return null;
    }
    return job;
  }

  private final class StreamListener implements EngineStream.Listener {
    private final String request;
    private final int streamNumber;

    StreamListener(String request, int streamNumber) {
      this.request = request;
      this.streamNumber = streamNumber;
    }

    @Override
    public void onChunk(long sequence, String model, byte[] data) {
      events.accept(
          new DispatcherEvent.ChunkReceived(request, streamNumber, sequence, model, data));
    }

    @Override
    public void onEnd(long chunks) {
      events.accept(new DispatcherEvent.EndReceived(request, streamNumber, chunks));
    }

    @Override
    public void onRefused(int status, String message) {
      events.accept(new DispatcherEvent.StartRefused(request, streamNumber, status, message));
    }

    @Override
    public void onBroken(String reason) {
      events.accept(new DispatcherEvent.StreamFailed(request, streamNumber, reason));
    }
  }
}
