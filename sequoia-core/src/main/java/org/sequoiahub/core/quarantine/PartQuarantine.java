package org.sequoiahub.core.quarantine;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongPredicate;

/**
 * Decides which prompt parts are quarantined: the fewest that explain why runners terminated.
 *
 * <p>A runner that terminates leaves every part of every request in flight on it suspect. Most are
 * innocent, and some of them are in flight at each termination because they are always used
 * together with the one that causes it, or because nearly all requests have them. So the suspects
 * are considered in an order, and a termination that one quarantined part explains counts against
 * no later one:
 *
 * <ul>
 *   <li>Parts with which requests were served recently come last.
 *   <li>The one with the most terminations comes first, and of those with equally many the more
 *       specific, as fewer requests share it: a whole request before a part, a later part of the
 *       prompt before an earlier one. If that is wrong, the next termination shows it.
 *   <li>Of parts with which requests were served recently, the more specific comes first even with
 *       somewhat fewer terminations: an earlier part of most requests is also in flight on runners
 *       that terminate for other reasons.
 * </ul>
 *
 * <p>Terminations count as follows:
 *
 * <ul>
 *   <li>Sequential ones each count: the request was sent after the preceding counted termination.
 *   <li>Simultaneous ones count once. They each count if the part was in flight on most of the
 *       runners that terminated then, and is not known to be good. They do not count at all if it
 *       was in flight on few of them: a failure domain or the network has failed.
 * </ul>
 *
 * <p>Immutable.
 */
final class PartQuarantine {

  /** By how many terminations a part may have fewer than one that is a position before it. */
  private static final int KNOWN_GOOD_POSITION_SCORE = 2;

  /** Share of the runners that terminate together from which a part explains that they did. */
  private static final double MAJORITY = 2 / 3.0;

  /** Share below which it does not explain that any of them did; several parts may be bad. */
  private static final double MIN_SHARE = 0.25;

  private final PartQuarantineSettings settings;
  private final long quarantineMillis;

  /**
   * Creates a decision.
   *
   * @param quarantineMillis how long a part is quarantined after its last termination (ms)
   */
  PartQuarantine(PartQuarantineSettings settings, long quarantineMillis) {
    this.settings = requireNonNull(settings, "settings must not be null");
    this.quarantineMillis = quarantineMillis;
  }

  /**
   * What is known of the terminations of runners.
   *
   * @param ofParts the terminations by prompt part, oldest first; only those that still count
   * @param ofQuarantinedRequests the terminations by request or load that is quarantined
   * @param endedMillis when runners terminated, whatever they processed
   * @param isKnownGood whether requests with a part were served recently
   * @param historyLost whether the fleet may have lost records of terminations
   */
  record Evidence(
      Map<Long, List<RunnerTermination>> ofParts,
      Collection<List<RunnerTermination>> ofQuarantinedRequests,
      Collection<Long> endedMillis,
      LongPredicate isKnownGood,
      boolean historyLost) {}

  private record Suspect(List<RunnerTermination> terminations, boolean knownGood) {
    private static final Comparator<Suspect> ORDER =
        Comparator.comparing(Suspect::knownGood)
            .thenComparing(Comparator.comparingInt(Suspect::score).reversed())
            .thenComparing(Comparator.comparingInt(Suspect::position).reversed())
            .thenComparingLong(suspect -> suspect.terminations.get(0).request());

    int score() {
      return knownGood ? count() + position() * KNOWN_GOOD_POSITION_SCORE : count();
    }

    int count() {
      return terminations.size();
    }

    /** Returns the position in the prompt; a whole request comes after all of its parts. */
    int position() {
      int position = terminations.get(0).partPosition();
      return position == 0 ? Integer.MAX_VALUE : position;
    }
  }

  /** Returns the parts that are quarantined, each with its terminations. */
  Map<Long, ActiveQuarantine> quarantined(Evidence evidence) {
    List<Suspect> suspects = new ArrayList<>();
    evidence.ofParts.forEach(
        (part, terminations) -> {
          if (terminations.size() >= settings.thresholdAfterHistoryLoss()) {
            suspects.add(new Suspect(terminations, isKnownGood(part, terminations, evidence)));
          }
        });
    if (suspects.isEmpty()) {
      return Map.of();
    }
    evidence.ofQuarantinedRequests.forEach(
        terminations -> suspects.add(new Suspect(terminations, false)));
    suspects.sort(Suspect.ORDER);
    Map<Long, ActiveQuarantine> quarantined = new LinkedHashMap<>();
    Set<Long> explained = new HashSet<>();
    for (Suspect suspect : suspects) {
      List<RunnerTermination> unexplained =
          suspect.terminations.stream()
              .filter(termination -> !explained.contains(termination.runner()))
              .toList();
      RunnerTermination first = suspect.terminations.get(0);
      int count =
          first.isOfPart() ? count(unexplained, suspect.knownGood, evidence) : settings.threshold();
      if (first.isOfPart() && count >= threshold(suspect, evidence)) {
        quarantined.put(first.request(), quarantine(suspect.terminations));
      }
      if (count >= settings.threshold() || quarantined.containsKey(first.request())) {
        // Also if it is not quarantined yet: less specific parts must not be in its place.
        unexplained.forEach(termination -> explained.add(termination.runner()));
      }
    }
    return quarantined;
  }

  private ActiveQuarantine quarantine(List<RunnerTermination> terminations) {
    long lastMillis = terminations.get(terminations.size() - 1).endedMillis();
    return new ActiveQuarantine(terminations, lastMillis + quarantineMillis);
  }

  private static boolean isKnownGood(
      long part, List<RunnerTermination> terminations, Evidence evidence) {
    return evidence.isKnownGood.test(part)
        || terminations.stream().anyMatch(RunnerTermination::knownGood);
  }

  private int threshold(Suspect suspect, Evidence evidence) {
    if (suspect.knownGood) {
      return settings.thresholdKnownGood();
    }
    return evidence.historyLost
            && suspect.terminations.stream().anyMatch(RunnerTermination::confirmed)
        ? settings.thresholdAfterHistoryLoss()
        : settings.threshold();
  }

  private int count(List<RunnerTermination> terminations, boolean knownGood, Evidence evidence) {
    int count = 0;
    for (int first = 0; first < terminations.size(); ) {
      int next = first + 1;
      while (next < terminations.size()
          && !RequestQuarantine.isSequential(terminations.get(first), terminations.get(next))) {
        next++;
      }
      int overlapping = countOverlapping(terminations.subList(first, next), evidence);
      boolean eachCounts = !knownGood && next - first >= settings.minSimultaneous();
      count += eachCounts ? overlapping : Math.min(1, overlapping);
      first = next;
    }
    return count;
  }

  private int countOverlapping(List<RunnerTermination> overlapping, Evidence evidence) {
    int count = 0;
    for (int first = 0; first < overlapping.size(); ) {
      long firstMillis = overlapping.get(first).endedMillis();
      int next = first + 1;
      while (next < overlapping.size()
          && overlapping.get(next).endedMillis() - overlapping.get(next - 1).endedMillis()
              <= settings.simultaneousMillis()) {
        next++;
      }
      long lastMillis = overlapping.get(next - 1).endedMillis();
      count += countSimultaneous(next - first, firstMillis, lastMillis, evidence);
      first = next;
    }
    return count;
  }

  private int countSimultaneous(int ofPart, long firstMillis, long lastMillis, Evidence evidence) {
    long ended =
        evidence.endedMillis.stream()
            .filter(
                millis ->
                    millis >= firstMillis - settings.simultaneousMillis()
                        && millis <= lastMillis + settings.simultaneousMillis())
            .count();
    if (ended >= settings.minSimultaneous() && ofPart < ended * MIN_SHARE) {
      return 0;
    }
    return ofPart >= settings.minSimultaneous() && ofPart >= ended * MAJORITY ? ofPart : 1;
  }
}
