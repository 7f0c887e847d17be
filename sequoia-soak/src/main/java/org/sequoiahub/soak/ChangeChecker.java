package org.sequoiahub.soak;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.sequoiahub.usersplatform.standin.StandinRunner;

/**
 * Checks that changes which the store acknowledged are in force within the bound at each host that
 * was in touch with it all the time.
 */
final class ChangeChecker {

  /**
   * The time after which a change must be in force (ns): the bound of the hosts' settings and as
   * much again for a busy machine.
   */
  static final long BOUND_NANOS = TimeUnit.MILLISECONDS.toNanos(4_000);

  private static final int NOT_FOUND = 404;

  private final List<Answer> answers = new CopyOnWriteArrayList<>();
  private final List<Leaving> leavings = new CopyOnWriteArrayList<>();

  /**
   * An answer to a request for a route that is new in a configuration.
   *
   * @param version the version of the configuration
   * @param acknowledgedNanos when the store acknowledged it
   * @param answeredNanos when the host answered
   */
  record Answer(
      String host, long version, long acknowledgedNanos, long answeredNanos, int status) {}

  /**
   * A runner that leaves.
   *
   * @param acknowledgedNanos when the store acknowledged its entry
   */
  record Leaving(StandinRunner runner, long acknowledgedNanos) {}

  /** Tells whether a host was out of touch at some moment between two times. */
  @FunctionalInterface
  interface Impairments {
    boolean wasImpaired(String host, long fromNanos, long untilNanos);
  }

  /** Returns how many answers were judged. */
  long judgedAnswers(Impairments impairments) {
    return answers.stream().filter(answer -> isJudged(answer, impairments)).count();
  }

  private static boolean isJudged(Answer answer, Impairments impairments) {
    return !impairments.wasImpaired(answer.host, answer.acknowledgedNanos, answer.answeredNanos);
  }

  void addAnswer(Answer answer) {
    answers.add(answer);
  }

  void addLeaving(Leaving leaving) {
    leavings.add(leaving);
  }

  /** Returns a description of each violation; empty if there is none. */
  List<String> violations(Collection<RequestResult> results, Impairments impairments) {
    List<String> violations = new ArrayList<>();
    for (Answer answer : answers) {
      if (answer.status == NOT_FOUND && isJudged(answer, impairments)) {
        violations.add(
            "%s does not know configuration %d, acknowledged %d ms before"
                .formatted(
                    answer.host,
                    answer.version,
                    millis(answer.answeredNanos - answer.acknowledgedNanos)));
      }
    }
    Map<String, RequestResult> resultsById = new HashMap<>();
    results.forEach(result -> resultsById.put(result.id(), result));
    for (Leaving leaving : leavings) {
      checkLeaving(leaving, resultsById, impairments, violations);
    }
    return violations;
  }

  private static void checkLeaving(
      Leaving leaving,
      Map<String, RequestResult> resultsById,
      Impairments impairments,
      List<String> violations) {
    long endNanos = leaving.acknowledgedNanos + BOUND_NANOS;
    for (StandinRunner.Run run : leaving.runner.runRecords()) {
      RequestResult request = resultsById.get(run.requestId());
      // A suspended runner may start late what was sent in time.
      if (request != null
          && request.sentNanos() - endNanos > 0
          && !impairments.wasImpaired(
              request.host(), leaving.acknowledgedNanos, run.startedNanos())) {
        violations.add(
            "%s was sent %s by %s %d ms after it stated that it leaves"
                .formatted(
                    leaving.runner.id(),
                    request.id(),
                    request.host(),
                    millis(run.startedNanos() - leaving.acknowledgedNanos)));
      }
    }
  }

  private static long millis(long nanos) {
    return TimeUnit.NANOSECONDS.toMillis(nanos);
  }
}
