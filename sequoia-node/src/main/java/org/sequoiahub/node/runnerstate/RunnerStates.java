package org.sequoiahub.node.runnerstate;

import static java.util.Objects.requireNonNull;

import com.codahale.metrics.DefaultSettableGauge;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.SettableGauge;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import org.sequoiahub.core.concurrency.RefusalLimits;
import org.sequoiahub.core.concurrency.RunPermits;
import org.sequoiahub.core.holding.MissingAdapter;
import org.sequoiahub.core.placement.Rendezvous;
import org.sequoiahub.core.ratelimit.IssuerFollowing;
import org.sequoiahub.core.ratelimit.LimitReport;
import org.sequoiahub.core.ratelimit.RunnerLimits;
import org.sequoiahub.core.ratelimit.SenderPermits;
import org.sequoiahub.core.ratelimit.StatedLimit;
import org.sequoiahub.core.runnerstate.CallKind;
import org.sequoiahub.core.runnerstate.LeavingReport;
import org.sequoiahub.core.runnerstate.RunnerAvailability;
import org.sequoiahub.core.runnerstate.RunnerSignals;
import org.sequoiahub.core.runnerstate.SendDecision;
import org.sequoiahub.core.runnerstate.StatementListener;
import org.sequoiahub.core.upstream.RunnerEntry;
import org.sequoiahub.runtime.log.EventLog;
import org.sequoiahub.usersplatform.HostSettings;

/**
 * Records what runners state about themselves and what this host sends them, for the other parts of
 * the host and for operators.
 *
 * <p>Its methods must be called on the decision thread, except {@link #isRelevant} and the status
 * methods.
 */
public final class RunnerStates {

  /** The time over which the calls to a limited runner are counted (ms). */
  private static final long WINDOW_MILLIS = 4_000;

  /**
   * The priority of calls of a runner's holder: after requests that can be answered in time, as an
   * order takes as much of the limit as a request, and before those that are late.
   */
  private static final int HOLDER_PRIORITY = 12;

  /** Added to the priority of a request that is late. */
  private static final int LATE_PRIORITY = 16;

  private static final String CAPACITY_PREFIX = "runner_capacity.";
  private static final String PREFIX = "runner_limits.";
  private static final String LEAVING_PREFIX = "runner_leaving.";
  private static final String BACKOFF_PREFIX = "runner_backoff.";

  private final MetricRegistry metrics;
  private final EventLog log;
  private final RunnerLimits limits;
  private final IssuerFollowing following;
  private final SenderPermits permits;
  private final RunnerLimits statedRefusals;
  private final RefusalLimits refusalLimits;
  private final RunPermits runPermits;
  private final RunnerAvailability availability;
  private final Runnable newsListener;
  private final Map<String, Deque<Long>> sentMillis = new HashMap<>();
  private final Map<String, SettableGauge<Double>> gauges = new HashMap<>();

  /** The runners whose unreadable statements were logged. */
  private final Set<String> unreadableLimits = new HashSet<>();

  private final Set<String> unreadableStatements = new HashSet<>();

  private volatile boolean anyLimitKnown;
  private volatile List<LimitStatus> published = List.of();
  private volatile List<CapacityStatus> publishedCapacities = List.of();
  private volatile List<RunnerAvailability.Statement> publishedStatements = List.of();

  /**
   * Creates an empty record.
   *
   * @param incarnation the start time of this process (ms since the epoch)
   * @param startedMillis when this process started (ms)
   * @param runners finds a runner's entry by the key of its incarnation
   * @param newsListener called when a response states what the other hosts should know soon
   */
  public RunnerStates(
      HostSettings settings,
      long incarnation,
      long startedMillis,
      Function<String, Optional<RunnerEntry>> runners,
      Runnable newsListener,
      MetricRegistry metrics,
      EventLog log) {
    this.metrics = requireNonNull(metrics, "metrics must not be null");
    this.log = requireNonNull(log, "log must not be null");
    String host = settings.host();
    long source = Rendezvous.hash(host + "/" + incarnation);
    this.limits = new RunnerLimits(source, this::limitChanged);
    this.statedRefusals = new RunnerLimits(source, this::refusalLimitChanged);
    this.refusalLimits = new RefusalLimits(statedRefusals, runners);
    this.following = new IssuerFollowing(host, settings.firstStart(), startedMillis);
    this.permits = new SenderPermits(limits, following);
    this.runPermits = new RunPermits(refusalLimits, following);
    this.availability =
        new RunnerAvailability(settings.drainMillis(), permits, runPermits, new StatementLog());
    this.newsListener = requireNonNull(newsListener, "newsListener must not be null");
  }

  /** Returns the limits that are known. */
  public RunnerLimits limits() {
    return limits;
  }

  /** Returns the statements on refusals, as hosts tell each other. */
  public RunnerLimits statedRefusals() {
    return statedRefusals;
  }

  /** Returns how many refusals per second each runner withstands. */
  public RefusalLimits refusalLimits() {
    return refusalLimits;
  }

  /** Returns this host's calls, and its permits for runners that fail when they refuse too many. */
  public RunPermits runPermits() {
    return runPermits;
  }

  /** Returns whether any runner needs permits of either kind. */
  public boolean arePermitsNeeded() {
    return limits.isAnyInForce() || statedRefusals.isAnyInForce();
  }

  /** Returns which host this host accepts permits from. */
  public IssuerFollowing following() {
    return following;
  }

  /** Returns the permits of this host. */
  public SenderPermits permits() {
    return permits;
  }

  /** Returns what decides whether a call may be sent to a runner. */
  public RunnerAvailability availability() {
    return availability;
  }

  /**
   * Takes the right to send a request to a runner now, or requests a permit.
   *
   * @param call identifies the request
   * @param priority lower ones get permits first
   * @return whether the request may be sent now
   */
  public boolean tryAcquire(String runner, Object call, int priority, long nowMillis) {
    return availability.tryAcquire(runner, CallKind.REQUEST, call, priority, nowMillis);
  }

  /** Takes the right to send a call of a runner's holder now, or requests a permit. */
  public boolean tryAcquireForHolder(String runner, CallKind kind, long nowMillis) {
    return availability.tryAcquire(runner, kind, runner + " " + kind, HOLDER_PRIORITY, nowMillis);
  }

  /**
   * Returns whether a response's statement may change what is known, so that the decision thread
   * must receive it; may be called on any thread.
   */
  public boolean isRelevant(RunnerSignals signals) {
    return anyLimitKnown || signals.affectsSending();
  }

  /**
   * Applies what the head of a response to a request states.
   *
   * @param requestSentMillis when the request was sent (ms)
   */
  public void responseReceived(
      String runner, RunnerSignals signals, long requestSentMillis, long nowMillis) {
    if (signals.limit() instanceof StatedLimit.Unreadable invalid) {
      logUnreadableLimit(runner, invalid.reason());
    }
    if (signals.refusals() instanceof StatedLimit.Unreadable invalid) {
      logUnreadableStatement(runner, invalid.reason());
    }
    limits.observe(runner, signals.limit(), requestSentMillis, nowMillis);
    statedRefusals.observe(runner, signals.refusals(), requestSentMillis, nowMillis);
    signals.unreadable().forEach(reason -> logUnreadableStatement(runner, reason));
    if (availability.observe(runner, signals, nowMillis)) {
      newsListener.run();
    }
  }

  /**
   * Applies what the head of a reply to an order or a report states; a limit does not end by a
   * reply that states none, as these need not state it.
   */
  public void replyReceived(String runner, RunnerSignals signals, long nowMillis) {
    responseReceived(runner, signals, Long.MIN_VALUE, nowMillis);
  }

  /**
   * Applies what another host knows of the runners' statements.
   *
   * @param limitReports on the rates of requests that runners take
   * @param refusalReports on the refusals per second that runners withstand
   */
  public void mergeReports(
      List<LimitReport> limitReports,
      List<LimitReport> refusalReports,
      List<LeavingReport> leavingReports,
      long nowMillis) {
    limitReports.forEach(report -> limits.merge(report, nowMillis));
    refusalReports.forEach(report -> statedRefusals.merge(report, nowMillis));
    leavingReports.forEach(report -> availability.merge(report, nowMillis));
  }

  /** Returns the priority of a request for a permit. */
  public static int permitPriority(int requestPriority, boolean inTime) {
    return Math.min(requestPriority, HOLDER_PRIORITY - 1) + (inTime ? 0 : LATE_PRIORITY);
  }

  private void logUnreadableLimit(String runner, String reason) {
    metrics.counter(PREFIX + "unreadable").inc();
    if (unreadableLimits.size() < RunnerLimits.MAX_RUNNERS && unreadableLimits.add(runner)) {
      log.warning(
          "runner-limit-unreadable",
          "runner",
          runner,
          "why",
          reason,
          "in_force",
          format(limits.perSecond(runner)));
    }
  }

  private void logUnreadableStatement(String runner, String reason) {
    metrics.counter("runner_statements.unreadable").inc();
    if (unreadableStatements.size() < RunnerAvailability.MAX_RUNNERS
        && unreadableStatements.add(runner)) {
      log.warning("runner-statement-unreadable", "runner", runner, "why", reason);
    }
  }

  /** Counts a request that a runner refused as it does not have the adapter. */
  public void recordMissingAdapter(String runner, String target, MissingAdapter missing) {
    metrics.counter("adapters.missing." + missing.cause().name().toLowerCase(Locale.ROOT)).inc();
    log.info(
        "adapter-missing",
        "runner",
        runner,
        "adapter",
        target,
        "cause",
        missing.cause(),
        "since_order_ms",
        missing.sinceOrderMillis());
  }

  /** Withdraws the requests of a call for permits. */
  public void withdraw(Object call) {
    permits.withdraw(call);
    runPermits.queue().withdraw(call);
  }

  /** Counts the end of a call that was sent to a runner. */
  public void recordEnded(String runner, RunPermits.End end, long nowMillis) {
    runPermits.recordEnded(runner, end, nowMillis);
  }

  /** Counts a call that is sent to a runner. */
  public void recordSent(String runner, CallKind call, long nowMillis) {
    runPermits.recordSent(runner, nowMillis);
    String kind = "sent." + call.name().toLowerCase(Locale.ROOT);
    if (limits.isLimited(runner)) {
      metrics.counter(PREFIX + kind).inc();
      sentMillis.computeIfAbsent(runner, id -> new ArrayDeque<>()).add(nowMillis);
    }
    if (availability.isAnyKnown()) {
      SendDecision decision = availability.decide(runner, call, nowMillis);
      if (availability.isLeaving(runner)) {
        metrics.counter(LEAVING_PREFIX + kind).inc();
      } else if (decision instanceof SendDecision.NotBefore) {
        metrics.counter(BACKOFF_PREFIX + kind).inc();
      }
    }
  }

  private void limitChanged(
      String runner, double before, double after, boolean fromPeer, long nowMillis) {
    anyLimitKnown = true;
    boolean begins = before == RunnerLimits.UNLIMITED;
    boolean ends = after == RunnerLimits.UNLIMITED;
    log.info(
        "runner-limit",
        "runner",
        runner,
        "change",
        begins ? "begins" : ends ? "ends" : "changes",
        "per_s",
        format(after),
        "before",
        format(before),
        "from",
        fromPeer ? "peer" : "runner",
        "sent_4s",
        sentInWindow(runner, nowMillis));
    if (ends) {
      sentMillis.remove(runner);
      for (String what : Set.of("per_second", "age_ms", "from_peer", "sent_4s")) {
        gauges.remove(gaugeName(runner, what));
        metrics.remove(gaugeName(runner, what));
      }
    }
  }

  private void refusalLimitChanged(
      String runner, double before, double after, boolean fromPeer, long nowMillis) {
    anyLimitKnown = true;
    refusalLimits.refresh();
    log.info(
        "runner-refusal-limit",
        "runner",
        runner,
        "change",
        before == RunnerLimits.UNLIMITED
            ? "begins"
            : after == RunnerLimits.UNLIMITED ? "ends" : "changes",
        "per_s",
        format(after),
        "before",
        format(before),
        "from",
        fromPeer ? "peer" : "runner");
  }

  /** Logs that this host, as the issuer, found that a runner accepts fewer calls. */
  public void capacityReduced(
      String runner,
      int before,
      int after,
      int held,
      int refusedInLastSecond,
      double refusalsPerSecond,
      long nowMillis) {
    metrics.counter(CAPACITY_PREFIX + "reduced").inc();
    log.info(
        "runner-capacity-reduced",
        "runner",
        runner,
        "before",
        before,
        "after",
        after,
        "held",
        held,
        "refused_1s",
        refusedInLastSecond,
        "withstands_per_s",
        format(refusalsPerSecond));
  }

  /** Logs when a statement on leaving or backoff begins and ends. */
  private final class StatementLog implements StatementListener {
    @Override
    public void leavingKnown(String runner, boolean fromPeer, long ageMillis, long nowMillis) {
      log.info(
          "runner-leaving",
          "runner",
          runner,
          "change",
          "begins",
          "from",
          fromPeer ? "peer" : "runner",
          "age_ms",
          ageMillis);
    }

    @Override
    public void leavingForgotten(String runner, long nowMillis) {
      log.info("runner-leaving", "runner", runner, "change", "ends");
    }

    @Override
    public void backoffBegun(String runner, long millis, boolean extended, long nowMillis) {
      log.info(
          "runner-backoff",
          "runner",
          runner,
          "change",
          extended ? "extended" : "begins",
          "for_ms",
          millis);
    }

    @Override
    public void backoffEnded(String runner, long nowMillis) {
      log.info("runner-backoff", "runner", runner, "change", "ends");
    }
  }

  private static String format(double perSecond) {
    return perSecond == RunnerLimits.UNLIMITED ? "none" : Double.toString(perSecond);
  }

  private int sentInWindow(String runner, long nowMillis) {
    Deque<Long> sent = sentMillis.get(runner);
    if (sent == null) {
      return 0;
    }
    while (!sent.isEmpty() && sent.element() <= nowMillis - WINDOW_MILLIS) {
      sent.remove();
    }
    return sent.size();
  }

  /** Returns the limits in force as published last; may be called on any thread. */
  public List<LimitStatus> status() {
    return published;
  }

  /**
   * Returns the runners that fail when they refuse too many calls, as published last; may be called
   * on any thread.
   */
  public List<CapacityStatus> capacities() {
    return publishedCapacities;
  }

  /**
   * Returns the statements on leaving and backoff in force as published last; may be called on any
   * thread.
   */
  public List<RunnerAvailability.Statement> statements() {
    return publishedStatements;
  }

  /** Publishes the statements in force and removes those of runners that are gone. */
  public void runMaintenance(Set<String> knownRunners, long nowMillis) {
    if (!anyLimitKnown && !availability.isAnyKnown() && publishedStatements.isEmpty()) {
      return;
    }
    limits.removeStaleEntries(knownRunners, nowMillis);
    permits.removeStaleEntries(nowMillis);
    statedRefusals.removeStaleEntries(knownRunners, nowMillis);
    refusalLimits.refresh();
    runPermits.removeStaleEntries(knownRunners, nowMillis);
    unreadableLimits.retainAll(knownRunners);
    unreadableStatements.retainAll(knownRunners);
    availability.removeStaleEntries(knownRunners, nowMillis);
    publishedStatements = List.copyOf(availability.statements(nowMillis));
    List<LimitStatus> inForce = new ArrayList<>();
    limits.inForce().forEach((runner, limit) -> inForce.add(describe(runner, limit, nowMillis)));
    inForce.forEach(this::publish);
    published = List.copyOf(inForce);
    List<CapacityStatus> capacityNow = new ArrayList<>();
    statedRefusals
        .inForce()
        .forEach((runner, limit) -> capacityNow.add(describeCapacity(runner, limit, nowMillis)));
    publishedCapacities = List.copyOf(capacityNow);
    anyLimitKnown = !limits.isEmpty() || !statedRefusals.isEmpty();
  }

  private LimitStatus describe(String runner, RunnerLimits.Limit limit, long nowMillis) {
    return new LimitStatus(
        runner,
        limit.perSecond(),
        nowMillis - limit.observedMillis(),
        limit.fromPeer(),
        sentInWindow(runner, nowMillis),
        following.followed());
  }

  private CapacityStatus describeCapacity(String runner, RunnerLimits.Limit limit, long nowMillis) {
    return new CapacityStatus(
        runner,
        limit.perSecond(),
        nowMillis - limit.observedMillis(),
        limit.fromPeer(),
        runPermits.capacity(runner),
        runPermits.heldByAll(runner),
        following.followed());
  }

  private void publish(LimitStatus status) {
    gauge(status.runner(), "per_second").setValue(status.perSecond());
    gauge(status.runner(), "age_ms").setValue((double) status.ageMillis());
    gauge(status.runner(), "from_peer").setValue(status.fromPeer() ? 1.0 : 0.0);
    gauge(status.runner(), "sent_4s").setValue((double) status.sentInWindow());
  }

  private static String gaugeName(String runner, String what) {
    return PREFIX + runner + "." + what;
  }

  private SettableGauge<Double> gauge(String runner, String what) {
    return gauges.computeIfAbsent(
        gaugeName(runner, what),
        name -> metrics.gauge(name, () -> new DefaultSettableGauge<>(0.0)));
  }
}
