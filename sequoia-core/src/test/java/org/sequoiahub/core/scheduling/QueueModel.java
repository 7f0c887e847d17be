package org.sequoiahub.core.scheduling;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.function.ToDoubleFunction;
import org.sequoiahub.core.dispatch.Candidate;

/**
 * Hosts that share runners, in virtual time: each runner reads one prompt after the other, and
 * hosts learn of each other's queues and use late, as they do from datagrams.
 */
final class QueueModel {

  static final double SPEED = WaitPrediction.DEFAULT.readTokensPerMilli();
  private static final long TICK = 10;
  private static final long REPORT_INTERVAL = 100;
  private static final int SAMPLE = 8;

  /** A kind of requests; rates are fractions of the fleet's capacity in tokens. */
  record Kind(
      String workspace, int priority, int tokens, long target, long deadline, double load) {}

  /** One attempt of a request; an attempt without a runner that has ended was rejected. */
  static final class Job {
    final Kind kind;
    final int content;
    final long firstMillis;
    final long deadlineMillis;
    WaitingRequest request;
    int host;
    long retryAtMillis;
    long rejectedAfterMillis = -1;
    boolean retried;
    boolean honoured;
    boolean capacityWasFree;
    long firstEventMillis = Long.MAX_VALUE;

    Job(Kind kind, int content, long now) {
      this.kind = kind;
      this.content = content;
      this.firstMillis = now;
      this.deadlineMillis = now + kind.deadline;
      this.request = request(now, 0, false);
    }

    WaitingRequest request(long arrived, double use, boolean returned) {
      return new WaitingRequest(
          kind.priority,
          arrived,
          arrived + kind.target,
          deadlineMillis,
          kind.tokens,
          use,
          returned);
    }

    boolean served() {
      return firstEventMillis <= deadlineMillis;
    }

    /** The value of the response: full until the target, a third until the deadline. */
    double value() {
      return firstEventMillis <= request.targetMillis() ? 1 : served() ? 1 / 3.0 : 0;
    }

    boolean onTime() {
      return value() == 1;
    }
  }

  private final class Host {
    final LoadShedding shedding = new LoadShedding();
    final WorkspaceUse use = new WorkspaceUse((workspace, now) -> fleetUse(workspace));
    final List<List<Job>> waiting = new ArrayList<>();
    final long[] reportedQueued = new long[runners];

    Host() {
      for (int i = 0; i < runners; i++) {
        waiting.add(new ArrayList<>());
      }
    }

    long queued(int runner) {
      return waiting.get(runner).stream().mapToLong(job -> job.kind.tokens).sum();
    }
  }

  private final int runners;
  private final Random random;
  private final long[] readUntil;
  private final long[] totalQueued;
  private final List<Host> hosts = new ArrayList<>();
  private final ArrayDeque<Job> recentlyServed = new ArrayDeque<>();
  private final boolean immediateRetries;
  final List<Job> jobs = new ArrayList<>();

  QueueModel(int hostCount, int runners, boolean immediateRetries, long seed) {
    this.runners = runners;
    this.random = new Random(seed);
    this.immediateRetries = immediateRetries;
    this.readUntil = new long[runners];
    this.totalQueued = new long[runners];
    for (int i = 0; i < hostCount; i++) {
      hosts.add(new Host());
    }
  }

  /** The use that hosts report of each other. */
  private double fleetUse(String workspace) {
    long tokens = 0;
    for (Job job : recentlyServed) {
      tokens += job.kind.workspace.equals(workspace) ? job.kind.tokens : 0;
    }
    return tokens * 1_000.0 / WorkspaceUse.WINDOW_MILLIS;
  }

  /** Runs arrivals for some time, and then until nothing is left. */
  void run(List<Kind> kinds, ToDoubleFunction<Long> factor, long millis) {
    List<Job> retries = new ArrayList<>();
    for (long now = 0; now < millis + 20_000; now += TICK) {
      final long time = now;
      while (!recentlyServed.isEmpty()
          && recentlyServed.peek().firstEventMillis < now - WorkspaceUse.WINDOW_MILLIS) {
        recentlyServed.poll();
      }
      if (now % REPORT_INTERVAL == 0) {
        report();
      }
      if (now < millis) {
        for (Kind kind : kinds) {
          double expected =
              kind.load * factor.applyAsDouble(now) * runners * SPEED * TICK / kind.tokens;
          for (int i = arrivals(expected); i > 0; i--) {
            Job job = new Job(kind, jobs.size(), now);
            job.host = random.nextInt(hosts.size());
            jobs.add(job);
            arrive(job, now, retries);
          }
        }
      }
      List<Job> due = retries.stream().filter(job -> job.retryAtMillis <= time).toList();
      retries.removeAll(due);
      due.forEach(job -> arrive(job, time, retries));
      hosts.forEach(host -> start(host, time));
    }
  }

  private int arrivals(double expected) {
    double limit = Math.exp(-expected);
    int count = 0;
    for (double product = random.nextDouble(); product > limit; product *= random.nextDouble()) {
      count++;
    }
    return count;
  }

  private void report() {
    Arrays.fill(totalQueued, 0);
    for (Host host : hosts) {
      for (int i = 0; i < runners; i++) {
        host.reportedQueued[i] = host.queued(i);
        totalQueued[i] += host.reportedQueued[i];
      }
    }
  }

  private Candidate candidate(Host host, int runner, int tokens, long now) {
    long unread = (long) (Math.max(0, readUntil[runner] - now) * SPEED);
    long queued = totalQueued[runner] - host.reportedQueued[runner] + host.queued(runner);
    return WaitPredictionTest.candidate(
        Integer.toString(runner), unread > 0 ? 1 : 0, unread, queued, tokens);
  }

  private void arrive(Job job, long now, List<Job> retries) {
    Host host = hosts.get(job.host);
    boolean returned = host.shedding.hasReturned(job.content, now);
    host.use.recordOffered(job.kind.workspace, 1, job.kind.tokens, now);
    job.request = job.request(now, host.use.relativeUse(job.kind.workspace, now), returned);
    List<Candidate> candidates = new ArrayList<>();
    for (int i = 0; i < Math.min(SAMPLE, runners); i++) {
      candidates.add(candidate(host, random.nextInt(runners), job.kind.tokens, now));
    }
    Candidate best =
        Collections.min(
            candidates,
            Comparator.comparingDouble(
                candidate ->
                    WaitPrediction.DEFAULT
                        .predict(List.of(candidate), there -> behind(host, job, there, now))
                        .firstEventMillis()));
    WaitPrediction.Outlook outlook =
        WaitPrediction.DEFAULT.predict(candidates, there -> behind(host, job, there, now));
    double hostSpeed = runners * SPEED / hosts.size();
    if (host.shedding.decide(job.request, true, job.content, outlook, hostSpeed, now)
        instanceof LoadShedding.Rejected rejected) {
      job.capacityWasFree |= outlook.free();
      if (!job.retried) {
        job.rejectedAfterMillis = 0;
        job.retried = true;
        job.honoured =
            !immediateRetries && rejected.retryAfterMillis() <= (job.deadlineMillis - now) / 3;
        job.retryAtMillis = job.honoured ? now + rejected.retryAfterMillis() : now + TICK;
        if (job.honoured || immediateRetries) {
          retries.add(job);
        }
      }
      return;
    }
    host.waiting.get(Integer.parseInt(best.runner().id())).add(job);
  }

  private static long behind(Host host, Job job, Candidate candidate, long now) {
    return host.waiting.get(Integer.parseInt(candidate.runner().id())).stream()
        .filter(other -> RequestOrder.compare(job.request, other.request, now) < 0)
        .mapToLong(other -> other.kind.tokens)
        .sum();
  }

  private void start(Host host, long now) {
    for (int runner = 0; runner < runners; runner++) {
      List<Job> waiting = host.waiting.get(runner);
      while (!waiting.isEmpty() && readUntil[runner] <= now) {
        Job first =
            Collections.min(waiting, (a, b) -> RequestOrder.compare(a.request, b.request, now));
        waiting.remove(first);
        double expected = first.kind.tokens / SPEED;
        if (now + expected > first.deadlineMillis) {
          // A rejection in the queue; its caller has no time left to retry.
          first.rejectedAfterMillis = now - first.request.arrivedMillis();
          continue;
        }
        readUntil[runner] = now + (long) Math.ceil(expected);
        first.firstEventMillis = readUntil[runner];
        host.shedding.started(first.content);
        host.use.recordServed(first.kind.workspace, first.kind.tokens, now);
        recentlyServed.add(first);
      }
    }
  }
}
