package org.sequoiahub.core.verdict;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkState;
import static java.util.Objects.requireNonNull;

import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * What is known of each send of one request, to a runner or to another host.
 *
 * <p>It is the only source of the statement that a request has not run: a send counts as one that
 * may have run from its beginning until a verdict says otherwise.
 */
public final class SendHistory {

  /** The verdict on a request that was sent nowhere. */
  public static final Verdict.NotRun NEVER_SENT =
      new Verdict.NotRun("never-sent", "the request was sent to no runner", 0);

  private static final Verdict OPEN =
      new Verdict.MayHaveRun("open", "the request was sent and its outcome is not known");

  private final int priorRuns;

  /** The verdict of each send, by its number. */
  private final Map<Integer, Verdict> verdicts = new TreeMap<>();

  /**
   * Creates the history of a request.
   *
   * @param priorRuns the number of sends that may have run at the host that passed the request on
   */
  public SendHistory(int priorRuns) {
    checkArgument(priorRuns >= 0, "priorRuns must not be negative, was %s", priorRuns);
    this.priorRuns = priorRuns;
  }

  /** Begins a send and returns its number, counted from 1. */
  public int begin() {
    int number = verdicts.size() + 1;
    verdicts.put(number, OPEN);
    return number;
  }

  /** Ends a send; it must have begun and not ended. */
  public void end(int number, Verdict verdict) {
    checkState(verdicts.get(number) == OPEN, "send %s is not open", number);
    verdicts.put(number, requireNonNull(verdict, "verdict must not be null"));
  }

  /** Returns the number of sends that have begun. */
  public int count() {
    return verdicts.size();
  }

  /** Returns the number of sends that have ended and may have run, with those of other hosts. */
  public int possibleRuns() {
    return priorRuns
        + (int)
            verdicts.values().stream()
                .filter(verdict -> verdict != OPEN && !(verdict instanceof Verdict.NotRun))
                .count();
  }

  /**
   * Returns whether the request may have run, or may run yet, as far as is known: the verdict on
   * the last send if none of them ran.
   */
  public Verdict verdict() {
    Verdict prior =
        priorRuns == 0
            ? NEVER_SENT
            : new Verdict.MayHaveRun("passed-on", "the request was sent by another host before");
    return verdicts.values().stream().reduce(prior, (before, last) -> last.combinedWith(before));
  }

  /** Returns what is known of each send, for a log line. */
  public String summary() {
    return verdicts.entrySet().stream()
        .map(send -> send.getKey() + ":" + code(send.getValue()))
        .collect(Collectors.joining(" "));
  }

  private static String code(Verdict verdict) {
    return verdict.fold(Verdict.NotRun::reason, ran -> "ran", Verdict.MayHaveRun::reason);
  }
}
