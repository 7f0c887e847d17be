package org.sequoiahub.soak;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.sequoiahub.usersplatform.standin.StandinRunner;
import org.sequoiahub.usersplatform.standin.StandinRunner.AcceptedOrder;

/** Checks the guarantees that must hold for every request and runner, whatever faults occurred. */
final class GuaranteeChecker {

  /** The duration of a lease: orders of two hosts to one runner are at least this far apart. */
  private static final long LEASE_NANOS = TimeUnit.MILLISECONDS.toNanos(3_000);

  /**
   * The time after a host resumes in which its orders are not checked: such an order may have been
   * in flight when the process was paused.
   */
  private static final long RESUME_TOLERANCE_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

  private final Map<StandinRunner, FaultProxy> runners;
  private final Map<String, HostProcess> hostsByName;
  private final int eventsPerStream;
  private final long workNanos;

  /**
   * Creates a checker for one run.
   *
   * @param runners every runner of the run, including replaced ones, with its proxy
   * @param hostsByName the host processes by host name
   * @param eventsPerStream the number of events in a complete stream
   * @param workNanos how long a runner takes for a request at most while it is not suspended
   */
  GuaranteeChecker(
      Map<StandinRunner, FaultProxy> runners,
      Map<String, HostProcess> hostsByName,
      int eventsPerStream,
      long workNanos) {
    this.runners = runners;
    this.hostsByName = hostsByName;
    this.eventsPerStream = eventsPerStream;
    this.workNanos = workNanos;
  }

  /** Returns a description of each violated guarantee; empty if all of them held. */
  List<String> violations(Collection<RequestResult> results) {
    List<String> violations = new ArrayList<>();
    for (RequestResult request : results) {
      checkRequest(request, violations);
    }
    checkEarlyEnds(results, violations);
    for (StandinRunner runner : runners.keySet()) {
      if (runner.capacityViolations() > 0) {
        violations.add(runner.id() + " was ordered to hold more adapters than it has slots for");
      }
      checkOrders(runner, violations);
    }
    return violations;
  }

  private void checkRequest(RequestResult request, List<String> violations) {
    int runs = runCount(request.id());
    String description =
        request.id() + " (" + request.kind() + ", status " + request.status() + ")";
    if (request.kind().runsAtMostOnce() && runs > 1) {
      violations.add(description + " ran " + runs + " times");
    }
    if (request.kind().runsAtMostOnce() && request.guaranteesNotRun() && runs > 0) {
      violations.add(description + " was reported as not run, but had run");
    }
    // Callers send valid requests only, so any other 4xx status is a fault.
    boolean rejectedAsInvalid =
        request.status() >= 400 && request.status() < 500 && !request.guaranteesNotRun();
    if (rejectedAsInvalid) {
      violations.add(description + " was rejected as a client error");
    }
    String body = request.body();
    if (request.status() == 200 && body != null && !isExpectedBody(request, body)) {
      violations.add(
          description + " received a wrong or partial response: " + body.replace("\n", "|"));
    }
  }

  private void checkEarlyEnds(Collection<RequestResult> results, List<String> violations) {
    Map<String, RequestResult> failed = new HashMap<>();
    for (RequestResult request : results) {
      if (request.status() != 200) {
        failed.put(request.id(), request);
      }
    }
    Map<String, List<EarlyEndCheck.Run>> runs = new HashMap<>();
    runners.forEach(
        (runner, proxy) -> {
          for (StandinRunner.Run run : runner.runRecords()) {
            RequestResult request = failed.get(run.requestId());
            if (request != null) {
              runs.computeIfAbsent(run.requestId(), id -> new ArrayList<>())
                  .add(describe(run, request, runner, proxy));
            }
          }
        });
    for (RequestResult request : failed.values()) {
      HostProcess host = hostsByName.get(request.host());
      boolean hostInterrupted =
          host != null
              && host.interruptions().anyBetween(request.sentNanos(), request.endedNanos());
      EarlyEndCheck.violation(request, runs.getOrDefault(request.id(), List.of()), hostInterrupted)
          .ifPresent(violations::add);
    }
  }

  private EarlyEndCheck.Run describe(
      StandinRunner.Run run, RequestResult request, StandinRunner runner, FaultProxy proxy) {
    return new EarlyEndCheck.Run(
        runner.id(),
        EarlyEndCheck.endNanos(run.startedNanos(), workNanos, runner.suspensions()),
        run.pieces().get(),
        proxy.interruptions().anyBetween(request.sentNanos(), request.endedNanos()));
  }

  private boolean isExpectedBody(RequestResult request, String body) {
    if (!request.kind().isStream()) {
      return body.endsWith(
          request.kind().prefix() + "x?id=" + request.id() + " body of " + request.id());
    }
    return Soak.VERSIONS.stream().anyMatch(version -> body.equals(wholeStream(version)));
  }

  /** Returns a stream whose events are all of runners of one software version. */
  private String wholeStream(String version) {
    StringBuilder events = new StringBuilder();
    for (int number = 1; number <= eventsPerStream; number++) {
      events.append(StandinRunner.event(number, version));
    }
    return events.toString();
  }

  private int runCount(String id) {
    int runs = 0;
    for (StandinRunner runner : runners.keySet()) {
      AtomicInteger runnerRuns = runner.runs().get(id);
      runs += runnerRuns == null ? 0 : runnerRuns.get();
    }
    return runs;
  }

  private void checkOrders(StandinRunner runner, List<String> violations) {
    AcceptedOrder previous = null;
    List<AcceptedOrder> orders =
        runner.acceptedOrders().stream()
            .sorted(Comparator.comparingLong(AcceptedOrder::arrivedNanos))
            .toList();
    for (AcceptedOrder order : orders) {
      HostProcess host = hostsByName.get(order.holder());
      boolean justResumed =
          host != null && order.arrivedNanos() - host.lastResumedNanos() < RESUME_TOLERANCE_NANOS;
      if (previous != null
          && !justResumed
          && !previous.holder().equals(order.holder())
          && order.arrivedNanos() - previous.arrivedNanos() < LEASE_NANOS) {
        long gap = TimeUnit.NANOSECONDS.toMillis(order.arrivedNanos() - previous.arrivedNanos());
        violations.add(
            "%s accepted an order of %s %d ms after an order of %s"
                .formatted(runner.id(), order.holder(), gap, previous.holder()));
      }
      previous = order;
    }
  }
}
