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

/** The inference requests at this dispatcher and the streams of their answers. */
final class JobScheduler implements OwnedRunnerController.Requests {

  private static final int MAX_RESUMES = 5;
  private static final long CANCEL_TIMEOUT_MILLIS = 2_000;
  private static final long ORPHAN_MILLIS = 5_000;
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
  private final Counter whole;
  private final Counter notRun;
  private final Counter notWhole;
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
    this.whole = metrics.counter("requests.whole");
    this.notRun = metrics.counter("requests.not_run");
    this.notWhole = metrics.counter("requests.not_whole");
    this.resumes = metrics.counter("streams.resumed");
    this.wrongAdapter = metrics.counter("answers.wrong_adapter");
    this.staleEvents = metrics.counter("streams.stale_events");
  }

  void fleet(Fleet next) {
    fleet = next;
  }

  /** Sets the time that the event at hand is handled at. */
  void now(long millis) {
    nowMillis = millis;
  }

  int size() {
    return jobs.size();
  }

  void received(WireConnection connection, long call, InferenceCall message) {
    if (message.getResume()) {
      resume(connection, call, message);
      return;
    }
    AdapterVersion adapter = new AdapterVersion(message.getAdapter(), message.getVersion());
    RunnerRequest asked = asked(message, adapter);
    Optional<NotRun> limit = overLimit(adapter, message.getMaxInFlight());
    if (limit.isPresent()) {
      refuseCall(connection, call, limit.get(), message.getRunner());
      return;
    }
    Span span = tracing.start("dispatcher.request", SpanKind.SERVER, message.getTraceparent());
    span.setAttribute("adapter", adapter.exactName()).setAttribute("runner", message.getRunner());
    OwnedRunner known = runners.owned(message.getRunner());
    boolean resident = known != null && known.controller().isReady(adapter);
    // The job must be known before it is offered: the offer may start it at once.
    Job job = new Job(message, asked, span, resident, connection, call, nowMillis);
    if (jobs.putIfAbsent(asked.id(), job) != null) {
      span.end();
      refuseCall(
          connection,
          call,
          new NotRun("duplicate-request", "this id is here already", 0),
          message.getRunner());
      return;
    }
    inFlightByAdapter.merge(adapter.adapter(), 1, Integer::sum);
    Admission admission =
        runners.offer(message.getRunner(), asked, message.getFallback(), nowMillis);
    if (admission instanceof Admission.Refused refused) {
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

  /** The caller went away or its deadline passed. */
  void cancelled(WireConnection connection, long call) {
    find(connection, call).ifPresent(this::cancel);
  }

  /** An entry's connection is gone: its jobs wait a while to be resumed on another one. */
  void closed(WireConnection connection) {
    for (Job job : jobs.values()) {
      if (job.isOn(connection)) {
        job.orphaned(nowMillis);
      }
    }
  }

  @Override
  public void start(Runner runner, RunnerRequest request, long fencingNumber) {
    Job job = jobs.get(request.id());
    if (job == null) {
      OwnedRunner owner = runners.owned(runner.id());
      if (owner != null) {
        owner.controller().ended(request.id(), nowMillis);
      }
      return;
    }
    job.start();
    job.send(Envelope.newBuilder().setStarted(Started.newBuilder().setRunner(runner.id())));
    int number = job.nextStream(nowMillis);
    job.opened(
        engines.start(
            runner.address(),
            job.request().getPath(),
            job.id(),
            job.request().getBody().toByteArray(),
            job.request().getInteractive(),
            fencingNumber,
            tracing.traceparent(job.span()),
            new StreamListener(job.id(), number)));
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

  void chunkCame(DispatcherEvent.ChunkCame event) {
    Job job = current(event.request(), event.stream());
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
      endWithoutMarker(job);
      finish(
          job,
          Outcomes.ranButFailed("wrong-adapter", "the engine answered as '" + event.model() + "'"));
      return;
    }
    job.heard(nowMillis);
    long sequence = job.sequencer().delivered();
    for (byte[] data : job.sequencer().accept(event.sequence(), event.data())) {
      Chunk chunk =
          Chunk.newBuilder().setSequence(++sequence).setData(ByteString.copyFrom(data)).build();
      job.send(Envelope.newBuilder().setChunk(chunk));
    }
  }

  void endCame(DispatcherEvent.EndCame event) {
    Job job = current(event.request(), event.stream());
    if (job == null) {
      return;
    }
    job.sequencer().end(event.chunks());
    if (!job.sequencer().isWhole()) {
      resumeStream(job, "chunks are missing before the end marker");
      return;
    }
    withRunner(job, owner -> owner.controller().ended(job.id(), nowMillis));
    finish(job, Outcomes.whole(event.chunks()));
  }

  void startRefused(DispatcherEvent.StartRefused event) {
    Job job = current(event.request(), event.stream());
    if (job == null) {
      return;
    }
    withRunner(job, owner -> owner.controller().ended(job.id(), nowMillis));
    if (job.countResume() > 1 || job.request().getResume() || job.sequencer().delivered() > 0) {
      // A refused resume: the engine no longer knows the request, for example after a restart.
      finish(job, Outcomes.of(new MayHaveRun("engine-lost-request", event.message())));
    } else {
      String reason = event.status() == NOT_FOUND ? "adapter-not-loaded" : "engine-refused";
      finish(job, Outcomes.of(new NotRun(reason, event.message(), 1)));
    }
  }

  void streamBroke(DispatcherEvent.StreamBroke event) {
    Job job = current(event.request(), event.stream());
    if (job != null) {
      resumeStream(job, event.why());
    }
  }

  void cancelAnswered(DispatcherEvent.CancelAnswered event) {
    Job job = jobs.get(event.request());
    if (job == null) {
      return;
    }
    if (event.confirmed()) {
      withRunner(job, owner -> owner.controller().ended(job.id(), nowMillis));
      finish(job, Outcomes.ranButFailed("cancelled", "the request was cancelled"));
    } else {
      endWithoutMarker(job);
      finish(job, Outcomes.of(new MayHaveRun("cancel-unconfirmed", "the engine did not answer")));
    }
  }

  void tick() {
    for (Job job : List.copyOf(jobs.values())) {
      boolean silent =
          job.isStarted() && job.silentMillis(nowMillis) >= settings.getStreamSilenceMs();
      if (silent) {
        resumeStream(job, "the stream is silent");
      } else if (job.isOrphanedFor(ORPHAN_MILLIS, nowMillis)) {
        cancel(job);
      } else if (job.isStarted() && nowMillis >= job.asked().deadlineMillis()) {
        cancel(job);
      }
    }
  }

  private RunnerRequest asked(InferenceCall message, AdapterVersion adapter) {
    long remaining = Math.min(message.getRemainingMs(), settings.getRequestLimitMs());
    return new RunnerRequest(
        message.getRequestId(),
        adapter,
        message.getInteractive() ? Priority.INTERACTIVE : Priority.BRIEF,
        nowMillis + remaining);
  }

  /**
   * Says whether the adapter's limit is reached. Entries send every request for a limited adapter
   * to its first candidate runner, so the count here is the fleet's.
   */
  private Optional<NotRun> overLimit(AdapterVersion adapter, int limit) {
    int inFlight = inFlightByAdapter.getOrDefault(adapter.adapter(), 0);
    return limit > 0 && inFlight >= limit
        ? Optional.of(
            new NotRun(
                "adapter-limit",
                "max_in_flight of the adapter is reached",
                LIMIT_RETRY_AFTER_MILLIS))
        : Optional.empty();
  }

  private void resume(WireConnection connection, long call, InferenceCall message) {
    Job job = jobs.get(message.getRequestId());
    if (job == null) {
      adopt(connection, call, message);
      return;
    }
    job.moveTo(connection, call, message.getResumeAfter());
    if (job.isStarted()) {
      openResume(job);
    }
  }

  private void adopt(WireConnection connection, long call, InferenceCall message) {
    AdapterVersion adapter = new AdapterVersion(message.getAdapter(), message.getVersion());
    Span span = tracing.start("dispatcher.resume", SpanKind.SERVER, message.getTraceparent());
    Job job = new Job(message, asked(message, adapter), span, true, connection, call, nowMillis);
    jobs.put(job.id(), job);
    inFlightByAdapter.merge(adapter.adapter(), 1, Integer::sum);
    job.start();
    withRunner(job, owner -> owner.controller().adopted(job.asked(), nowMillis));
    openResume(job);
  }

  private void resumeStream(Job job, String why) {
    if (job.countResume() > MAX_RESUMES) {
      endWithoutMarker(job);
      finish(job, Outcomes.of(new MayHaveRun("stream-lost", why)));
      return;
    }
    log.info(
        "stream-resumed", "request", job.id(), "after", job.sequencer().delivered(), "reason", why);
    openResume(job);
  }

  private void openResume(Job job) {
    Optional<Runner> runner = fleet.runner(job.request().getRunner());
    if (runner.isEmpty()) {
      finish(job, Outcomes.of(new MayHaveRun("runner-gone", "the runner is no longer listed")));
      return;
    }
    resumes.inc();
    int number = job.nextStream(nowMillis);
    job.opened(
        engines.resume(
            runner.get().address(),
            job.id(),
            job.sequencer().delivered(),
            new StreamListener(job.id(), number)));
  }

  private void cancel(Job job) {
    if (job.isCancelled()) {
      return;
    }
    job.cancel();
    OwnedRunner owner = runners.owned(job.request().getRunner());
    if (owner != null && owner.controller().cancel(job.id())) {
      finish(job, Outcomes.of(notStarted(job)));
    } else if (owner != null) {
      runners.settle(owner, nowMillis);
    } else {
      fleet
          .runner(job.request().getRunner())
          .ifPresent(runner -> cancelRunning(runner, job.asked()));
    }
  }

  private NotRun notStarted(Job job) {
    return nowMillis >= job.asked().deadlineMillis()
        ? new NotRun("deadline-passed", "the deadline passed while the request waited", 1)
        : new NotRun("cancelled", "cancelled before it started", 0);
  }

  /**
   * Gives a running request up without knowing that it stopped: its pin stays until that is known.
   */
  private void endWithoutMarker(Job job) {
    withRunner(
        job,
        owner -> {
          owner.controller().uncertain(job.id(), nowMillis);
          if (!job.isCancelled()) {
            owner.controller().cancel(job.id());
          }
        });
  }

  private void withRunner(Job job, Consumer<OwnedRunner> action) {
    OwnedRunner owner = runners.owned(job.request().getRunner());
    if (owner != null) {
      action.accept(owner);
      runners.settle(owner, nowMillis);
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
    count(outcome);
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

  private void count(Outcome.Builder outcome) {
    if (outcome.getComplete()) {
      whole.inc();
    } else if (outcome.getVerdict() == RunVerdict.NOT_RUN) {
      notRun.inc();
    } else {
      notWhole.inc();
    }
  }

  private void refuseCall(WireConnection connection, long call, NotRun verdict, String runner) {
    notRun.inc();
    connection.send(call, Outcomes.envelope(Outcomes.of(verdict).setRunner(runner)));
  }

  private Optional<Job> find(WireConnection connection, long call) {
    return jobs.values().stream().filter(job -> job.isCall(connection, call)).findFirst();
  }

  private @Nullable Job current(String request, int stream) {
    Job job = jobs.get(request);
    if (job == null || !job.isCurrent(stream)) {
      staleEvents.inc();
      return null;
    }
    return job;
  }

  private final class StreamListener implements EngineStream.Listener {
    private final String request;
    private final int number;

    StreamListener(String request, int number) {
      this.request = request;
      this.number = number;
    }

    @Override
    public void onChunk(long sequence, String model, byte[] data) {
      events.accept(new DispatcherEvent.ChunkCame(request, number, sequence, model, data));
    }

    @Override
    public void onEnd(long chunks) {
      events.accept(new DispatcherEvent.EndCame(request, number, chunks));
    }

    @Override
    public void onRefused(int status, String message) {
      events.accept(new DispatcherEvent.StartRefused(request, number, status, message));
    }

    @Override
    public void onBroken(String why) {
      events.accept(new DispatcherEvent.StreamBroke(request, number, why));
    }
  }
}
