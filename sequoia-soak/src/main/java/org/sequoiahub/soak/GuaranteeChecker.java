package org.sequoiahub.soak;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.sequoiahub.usersplatform.standin.StandinRunner;
import org.sequoiahub.usersplatform.standin.StandinRunner.GivenOrder;

/** What must hold of every request and of every runner, whatever failed. */
final class GuaranteeChecker {

  /** Orders of two hosts to one runner are at least this far apart. */
  private static final long LEASE_NANOS = TimeUnit.MILLISECONDS.toNanos(3_000);

  /** An order that was on its way in a process that was paused does not count. */
  private static final long RESUME_TOLERANCE_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

  private final Collection<StandinRunner> runners;
  private final Map<String, HostProcess> hostsByName;
  private final int eventsPerStream;

  /**
   * Creates the promises of one run.
   *
   * @param runners all that ever ran
   * @param events how many events a whole stream has
   */
  GuaranteeChecker(Collection<StandinRunner> runners, Map<String, HostProcess> hosts, int events) {
    this.runners = runners;
    this.hostsByName = hosts;
    this.eventsPerStream = events;
  }

  /** Returns what was broken, a line each. */
  List<String> violations(Collection<RequestResult> asked) {
    List<String> broken = new ArrayList<>();
    for (RequestResult request : asked) {
      checkRequest(request, broken);
    }
    for (StandinRunner runner : runners) {
      if (runner.overloads() > 0) {
        broken.add(runner.id() + " was ordered to hold too much");
      }
      checkOrders(runner, broken);
    }
    return broken;
  }

  private void checkRequest(RequestResult request, List<String> broken) {
    int runs = runCount(request.id());
    String what = request.id() + " (" + request.kind() + ", status " + request.status() + ")";
    if (request.kind().runsAtMostOnce() && runs > 1) {
      broken.add(what + " ran " + runs + " times");
    }
    if (request.kind().runsAtMostOnce() && request.guaranteesNotRun() && runs > 0) {
      broken.add(what + " was told that it had not run, and had");
    }
    boolean ours = request.status() >= 400 && request.status() < 500 && !request.guaranteesNotRun();
    if (ours) {
      broken.add(what + " was denied");
    }
    String body = request.body();
    if (request.status() == 200 && body != null && !isCompleteBody(request, body)) {
      broken.add(what + " got a wrong or partial answer: " + body.replace("\n", "|"));
    }
  }

  private boolean isCompleteBody(RequestResult request, String body) {
    if (!request.kind().isStream()) {
      return body.endsWith(
          request.kind().prefix() + "x?id=" + request.id() + " body of " + request.id());
    }
    StringBuilder whole = new StringBuilder();
    for (int number = 1; number <= eventsPerStream; number++) {
      whole.append("id: ").append(number).append("\ndata: words ").append(number).append("\n\n");
    }
    return body.contentEquals(whole);
  }

  private int runCount(String id) {
    int runs = 0;
    for (StandinRunner runner : runners) {
      AtomicInteger here = runner.runs().get(id);
      runs += here == null ? 0 : here.get();
    }
    return runs;
  }

  private void checkOrders(StandinRunner runner, List<String> broken) {
    GivenOrder before = null;
    for (GivenOrder order : runner.orders()) {
      HostProcess host = hostsByName.get(order.holder());
      boolean thawed =
          host != null && order.atNanos() - host.lastResumedNanos() < RESUME_TOLERANCE_NANOS;
      if (before != null
          && !thawed
          && !before.holder().equals(order.holder())
          && order.atNanos() - before.atNanos() < LEASE_NANOS) {
        long gap = TimeUnit.NANOSECONDS.toMillis(order.atNanos() - before.atNanos());
        broken.add(
            "%s was ordered by %s %d ms after %s"
                .formatted(runner.id(), order.holder(), gap, before.holder()));
      }
      before = order;
    }
  }
}
