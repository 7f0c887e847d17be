package org.sequoiahub.core.quarantine;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongPredicate;
import java.util.stream.Stream;

/**
 * Decides which requests are held back because runners end under them.
 *
 * <p>Some requests end the process of every runner that begins to run them. Each attempt looks like
 * any other lost answer to the host that made it, and the caller brings the request again, under a
 * new id and to any host; the sign is runners that end one after the other. No single call can
 * bound that, so every host keeps the ends that all hosts saw, by the request's fingerprint.
 *
 * <p>A runner takes all its requests with it, so an end alone proves nothing against any of them.
 * This keeps the innocent out:
 *
 * <ul>
 *   <li>Ends count only one after the other: an attempt counts if it was sent after the counted end
 *       before it. Copies of a request that are in flight at several runners when a failure domain
 *       is lost count once.
 *   <li>An end counts half if the answer had begun.
 *   <li>A good answer clears a request: it has run and the runner lived. What had one lately needs
 *       twice as many ends, so that what callers ask again and again is not held back by all hosts
 *       at once, after which no good answer could clear it.
 *   <li>A broken connection counts for {@link QuarantineSettings#suspicionMillis} only, unless the
 *       runner turns out to have ended.
 * </ul>
 *
 * <p>A request is held back for {@link QuarantineSettings#holdMillis} after the last end. Then it
 * may be tried: a good answer clears it, one more end brings the hold back.
 *
 * <p>Not safe for use by several threads. All times are of one monotonic clock.
 */
public final class RequestQuarantine {

  private final QuarantineSettings settings;

  /** Ends of the requests under which one runner ended: hundreds after the loss of a domain. */
  private final Map<Long, List<RunnerEnd>> once;

  /**
   * Ends of the requests under which several runners ended, one after the other: apart from the
   * others, which would push them out.
   */
  private final Map<Long, List<RunnerEnd>> repeated;

  /** When requests that were suspect had a good answer, so that older ends are not taken anew. */
  private final Map<Long, Long> clearedAt;

  /**
   * When requests had a good answer at this host, by the cheap half of their fingerprint. Each good
   * answer is noted, so it must cost little; a request that shares its half with another one only
   * needs more ends to be held back.
   */
  private final Map<Integer, Long> goodAt;

  /** The cheap halves of the fingerprints that something is or was known against. */
  private final Set<Integer> screens = new HashSet<>();

  private boolean memoryLost;

  /** Creates a quarantine that holds nothing back. */
  public RequestQuarantine(QuarantineSettings settings) {
    this.settings = requireNonNull(settings, "settings must not be null");
    this.once = bounded(settings.maxRequests());
    this.repeated = bounded(settings.maxRequests());
    this.clearedAt = bounded(settings.maxRequests());
    this.goodAt = bounded(settings.maxRequests());
  }

  /** A map that forgets the entry that was put first when it is full. */
  static <K, V> Map<K, V> bounded(int max) {
    return new LinkedHashMap<>() {
      @Override
      protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
        return size() > max;
      }
    };
  }

  /** Takes in a runner's end under a request; false if it was known or has been refuted. */
  public boolean ended(RunnerEnd end, long nowMillis) {
    if (isRefuted(end) || !counts(end, nowMillis)) {
      return false;
    }
    List<RunnerEnd> known = ends(end.request());
    List<RunnerEnd> merged = new ArrayList<>(known);
    for (RunnerEnd other : known) {
      if (other.runner() == end.runner()) {
        if (other.confirmed() || !end.confirmed()) {
          return false;
        }
        merged.remove(other);
      }
    }
    merged.add(end);
    merged.sort(Comparator.comparingLong(RunnerEnd::endedMillis));
    if (merged.size() > settings.maxEndsPerRequest()) {
      merged.remove(0);
    }
    keep(end.request(), merged, nowMillis);
    return true;
  }

  /**
   * Notes that a request had a good answer at this host; cheap, as it is called for each.
   *
   * @param screen the cheap half of its fingerprint
   */
  public void answered(int screen, long nowMillis) {
    goodAt.remove(screen);
    goodAt.put(screen, nowMillis);
  }

  /** Returns whether something may be known against a request with this half of a fingerprint. */
  public boolean mayKnow(int screen) {
    return screens.contains(screen);
  }

  /**
   * Records that a request had a good answer at any host: the ends before say nothing against it.
   *
   * @param atMillis when the answer was complete
   * @return whether anything was known against the request
   */
  public boolean cleared(long request, long atMillis) {
    List<RunnerEnd> known = ends(request);
    List<RunnerEnd> later = known.stream().filter(end -> end.endedMillis() > atMillis).toList();
    if (later.size() == known.size()) {
      return false;
    }
    clearedAt.merge(request, atMillis, Math::max);
    once.remove(request);
    repeated.remove(request);
    if (!later.isEmpty()) {
      once.put(request, later);
    }
    return true;
  }

  /** Returns when a request had a good answer that refutes an end; empty if none does. */
  public Optional<Long> refutedAt(RunnerEnd end) {
    Long at = clearedAt.get(end.request());
    return at == null || at < end.endedMillis() ? Optional.empty() : Optional.of(at);
  }

  private boolean isRefuted(RunnerEnd end) {
    return refutedAt(end).isPresent();
  }

  /** Returns why a request is held back; empty if it may be sent to a runner. */
  public Optional<Hold> hold(long request, long nowMillis) {
    List<RunnerEnd> chain = inTurn(ends(request), nowMillis);
    int points = chain.stream().mapToInt(QuarantineSettings::points).sum();
    if (points < pointsToHold(request, nowMillis)) {
      return Optional.empty();
    }
    long until = chain.get(chain.size() - 1).endedMillis() + settings.holdMillis();
    return nowMillis < until ? Optional.of(new Hold(chain, until)) : Optional.empty();
  }

  private int pointsToHold(long request, long nowMillis) {
    Long good = goodAt.get(RequestFingerprint.screenOf(request));
    if (good != null && nowMillis - good < settings.knownGoodMillis()) {
      return settings.pointsToHoldKnownGood();
    }
    return memoryLost ? settings.pointsToHoldAfterLoss() : settings.pointsToHold();
  }

  /**
   * Sets whether the fleet may have forgotten ends, as all its hosts started again since.
   *
   * <p>What was held back before would otherwise take as many runners again as it took at first.
   */
  public void memoryLost(boolean lost) {
    memoryLost = lost;
  }

  /** Returns whether a runner ended under a request lately. */
  public boolean isSuspect(long request, long nowMillis) {
    return ends(request).stream().anyMatch(end -> counts(end, nowMillis));
  }

  /** Returns whether several runners ended under a request, one after the other. */
  public boolean isRepeated(long request) {
    return repeated.containsKey(request);
  }

  /** Returns the ends that are known under a request. */
  public List<RunnerEnd> endsUnder(long request) {
    return ends(request);
  }

  /** Returns when a runner ended under any request; empty if none is known to have run there. */
  public Optional<Long> endOf(long runner) {
    return Stream.concat(once.values().stream(), repeated.values().stream())
        .flatMap(List::stream)
        .filter(end -> end.runner() == runner)
        .map(RunnerEnd::endedMillis)
        .min(Long::compare);
  }

  /** Returns whether nothing is known against any request. */
  public boolean isEmpty() {
    return once.isEmpty() && repeated.isEmpty();
  }

  /** Returns how many requests something is known against. */
  public int size() {
    return once.size() + repeated.size();
  }

  /** Returns the ends of the requests under which several runners ended one after the other. */
  public List<RunnerEnd> repeatedEnds() {
    return repeated.values().stream().flatMap(List::stream).toList();
  }

  /** Returns the ends of the requests that are held back. */
  public List<RunnerEnd> heldBackEnds(long nowMillis) {
    return repeated.entrySet().stream()
        .filter(entry -> hold(entry.getKey(), nowMillis).isPresent())
        .flatMap(entry -> entry.getValue().stream())
        .toList();
  }

  /**
   * Marks the ends as proved of which it has become known that the runner's process is gone.
   *
   * @param hasEnded whether the runner with this hash is known to have ended
   */
  public void confirm(LongPredicate hasEnded) {
    for (Map<Long, List<RunnerEnd>> rank : List.of(once, repeated)) {
      rank.replaceAll(
          (request, ends) -> {
            boolean any = ends.stream().anyMatch(end -> isProvedBy(end, hasEnded));
            return any ? confirmed(ends, hasEnded) : ends;
          });
    }
  }

  private static boolean isProvedBy(RunnerEnd end, LongPredicate hasEnded) {
    return !end.confirmed() && hasEnded.test(end.runner());
  }

  private static List<RunnerEnd> confirmed(List<RunnerEnd> ends, LongPredicate hasEnded) {
    return ends.stream().map(end -> isProvedBy(end, hasEnded) ? end.asConfirmed() : end).toList();
  }

  /** Forgets ends that no longer count. */
  public void forget(long nowMillis) {
    for (Map<Long, List<RunnerEnd>> rank : List.of(once, repeated)) {
      rank.values().removeIf(ends -> ends.stream().noneMatch(end -> counts(end, nowMillis)));
    }
    clearedAt.values().removeIf(at -> nowMillis - at >= settings.rememberMillis());
    if (screens.size() > 2 * size()) {
      screens.clear();
      once.keySet().forEach(request -> screens.add(RequestFingerprint.screenOf(request)));
      repeated.keySet().forEach(request -> screens.add(RequestFingerprint.screenOf(request)));
    }
  }

  private List<RunnerEnd> ends(long request) {
    List<RunnerEnd> ends = repeated.get(request);
    return ends == null ? once.getOrDefault(request, List.of()) : ends;
  }

  private void keep(long request, List<RunnerEnd> ends, long nowMillis) {
    once.remove(request);
    repeated.remove(request);
    boolean several = inTurn(ends, nowMillis).size() > 1;
    (several ? repeated : once).put(request, List.copyOf(ends));
    screens.add(RequestFingerprint.screenOf(request));
  }

  private boolean counts(RunnerEnd end, long nowMillis) {
    long counted = end.confirmed() ? settings.rememberMillis() : settings.suspicionMillis();
    return nowMillis - end.endedMillis() < counted;
  }

  /** Returns the ends that count one after the other, the oldest first. */
  private List<RunnerEnd> inTurn(List<RunnerEnd> ends, long nowMillis) {
    List<RunnerEnd> chain = new ArrayList<>();
    long lastMillis = Long.MIN_VALUE;
    for (RunnerEnd end : ends) {
      if (counts(end, nowMillis) && end.startedMillis() >= lastMillis) {
        chain.add(end);
        lastMillis = end.endedMillis();
      }
    }
    return chain;
  }
}
