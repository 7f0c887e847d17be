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
 *   <li>A broken connection counts for {@link QuarantineSettings#unconfirmedRetentionMillis} only,
 *       unless the runner turns out to have ended.
 * </ul>
 *
 * <p>A request is held back for {@link QuarantineSettings#quarantineMillis} after the last end.
 * Then it may be tried: a good answer clears it, one more end brings the hold back.
 *
 * <p>Not safe for use by several threads. All times are of one monotonic clock.
 */
public final class RequestQuarantine {

  private final QuarantineSettings settings;

  /** Ends of the requests under which one runner ended: hundreds after the loss of a domain. */
  private final Map<Long, List<RunnerTermination>> singleTerminations;

  /**
   * Ends of the requests under which several runners ended, one after the other: apart from the
   * others, which would push them out.
   */
  private final Map<Long, List<RunnerTermination>> repeatedTerminations;

  /** When requests that were suspect had a good answer, so that older ends are not taken anew. */
  private final Map<Long, Long> clearedMillis;

  /**
   * When requests had a good answer at this host, by the cheap half of their fingerprint. Each good
   * answer is noted, so it must cost little; a request that shares its half with another one only
   * needs more ends to be held back.
   */
  private final Map<Integer, Long> lastSuccessMillis;

  /** The cheap halves of the fingerprints that something is or was known against. */
  private final Set<Integer> knownChecksums = new HashSet<>();

  private boolean historyLost;

  /** Creates a quarantine that holds nothing back. */
  public RequestQuarantine(QuarantineSettings settings) {
    this.settings = requireNonNull(settings, "settings must not be null");
    this.singleTerminations = boundedMap(settings.maxRequests());
    this.repeatedTerminations = boundedMap(settings.maxRequests());
    this.clearedMillis = boundedMap(settings.maxRequests());
    this.lastSuccessMillis = boundedMap(settings.maxRequests());
  }

  /** A map that forgets the entry that was put first when it is full. */
  static <K, V> Map<K, V> boundedMap(int max) {
    return new LinkedHashMap<>() {
      @Override
      protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
        return size() > max;
      }
    };
  }

  /** Takes in a runner's end under a request; false if it was known or has been refuted. */
  public boolean recordTermination(RunnerTermination end, long nowMillis) {
    if (isSuperseded(end) || !isRetained(end, nowMillis)) {
      return false;
    }
    List<RunnerTermination> known = knownTerminations(end.request());
    List<RunnerTermination> merged = new ArrayList<>(known);
    for (RunnerTermination other : known) {
      if (other.runner() == end.runner()) {
        if (other.confirmed() || !end.confirmed()) {
          return false;
        }
        merged.remove(other);
      }
    }
    merged.add(end);
    merged.sort(Comparator.comparingLong(RunnerTermination::endedMillis));
    if (merged.size() > settings.maxTerminationsPerRequest()) {
      merged.remove(0);
    }
    store(end.request(), merged, nowMillis);
    return true;
  }

  /**
   * Notes that a request had a good answer at this host; cheap, as it is called for each.
   *
   * @param screen the cheap half of its fingerprint
   */
  public void recordSuccess(int screen, long nowMillis) {
    lastSuccessMillis.remove(screen);
    lastSuccessMillis.put(screen, nowMillis);
  }

  /** Returns whether something may be known against a request with this half of a fingerprint. */
  public boolean mightContain(int screen) {
    return knownChecksums.contains(screen);
  }

  /**
   * Records that a request had a good answer at any host: the ends before say nothing against it.
   *
   * @param atMillis when the answer was complete
   * @return whether anything was known against the request
   */
  public boolean clear(long request, long atMillis) {
    List<RunnerTermination> known = knownTerminations(request);
    List<RunnerTermination> later =
        known.stream().filter(end -> end.endedMillis() > atMillis).toList();
    if (later.size() == known.size()) {
      return false;
    }
    clearedMillis.merge(request, atMillis, Math::max);
    singleTerminations.remove(request);
    repeatedTerminations.remove(request);
    if (!later.isEmpty()) {
      singleTerminations.put(request, later);
    }
    return true;
  }

  /** Returns when a request had a good answer that refutes an end; empty if none does. */
  public Optional<Long> successAfter(RunnerTermination end) {
    Long at = clearedMillis.get(end.request());
    return at == null || at < end.endedMillis() ? Optional.empty() : Optional.of(at);
  }

  private boolean isSuperseded(RunnerTermination end) {
    return successAfter(end).isPresent();
  }

  /** Returns why a request is held back; empty if it may be sent to a runner. */
  public Optional<ActiveQuarantine> activeQuarantine(long request, long nowMillis) {
    List<RunnerTermination> chain = sequentialTerminations(knownTerminations(request), nowMillis);
    int points = chain.stream().mapToInt(QuarantineSettings::points).sum();
    if (points < threshold(request, nowMillis)) {
      return Optional.empty();
    }
    long until = chain.get(chain.size() - 1).endedMillis() + settings.quarantineMillis();
    return nowMillis < until ? Optional.of(new ActiveQuarantine(chain, until)) : Optional.empty();
  }

  private int threshold(long request, long nowMillis) {
    Long good = lastSuccessMillis.get(RequestFingerprint.checksumOf(request));
    if (good != null && nowMillis - good < settings.knownGoodMillis()) {
      return settings.thresholdKnownGood();
    }
    return historyLost ? settings.thresholdAfterHistoryLoss() : settings.threshold();
  }

  /**
   * Sets whether the fleet may have forgotten ends, as all its hosts started again since.
   *
   * <p>What was held back before would otherwise take as many runners again as it took at first.
   */
  public void historyLost(boolean lost) {
    historyLost = lost;
  }

  /** Returns whether a runner ended under a request lately. */
  public boolean isSuspect(long request, long nowMillis) {
    return knownTerminations(request).stream().anyMatch(end -> isRetained(end, nowMillis));
  }

  /** Returns whether several runners ended under a request, one after the other. */
  public boolean hasRepeatedTerminations(long request) {
    return repeatedTerminations.containsKey(request);
  }

  /** Returns the ends that are known under a request. */
  public List<RunnerTermination> terminations(long request) {
    return knownTerminations(request);
  }

  /** Returns when a runner ended under any request; empty if none is known to have run there. */
  public Optional<Long> terminationMillis(long runner) {
    return Stream.concat(
            singleTerminations.values().stream(), repeatedTerminations.values().stream())
        .flatMap(List::stream)
        .filter(end -> end.runner() == runner)
        .map(RunnerTermination::endedMillis)
        .min(Long::compare);
  }

  /** Returns whether nothing is known against any request. */
  public boolean isEmpty() {
    return singleTerminations.isEmpty() && repeatedTerminations.isEmpty();
  }

  /** Returns how many requests something is known against. */
  public int size() {
    return singleTerminations.size() + repeatedTerminations.size();
  }

  /** Returns the ends of the requests under which several runners ended one after the other. */
  public List<RunnerTermination> repeatedTerminations() {
    return repeatedTerminations.values().stream().flatMap(List::stream).toList();
  }

  /** Returns the ends of the requests that are held back. */
  public List<RunnerTermination> quarantinedTerminations(long nowMillis) {
    return repeatedTerminations.entrySet().stream()
        .filter(entry -> activeQuarantine(entry.getKey(), nowMillis).isPresent())
        .flatMap(entry -> entry.getValue().stream())
        .toList();
  }

  /**
   * Marks the ends as proved of which it has become known that the runner's process is gone.
   *
   * @param hasEnded whether the runner with this hash is known to have ended
   */
  public void confirmTerminations(LongPredicate hasEnded) {
    for (Map<Long, List<RunnerTermination>> rank :
        List.of(singleTerminations, repeatedTerminations)) {
      rank.replaceAll(
          (request, ends) -> {
            boolean any = ends.stream().anyMatch(end -> isProvedBy(end, hasEnded));
            return any ? confirmed(ends, hasEnded) : ends;
          });
    }
  }

  private static boolean isProvedBy(RunnerTermination end, LongPredicate hasEnded) {
    return !end.confirmed() && hasEnded.test(end.runner());
  }

  private static List<RunnerTermination> confirmed(
      List<RunnerTermination> ends, LongPredicate hasEnded) {
    return ends.stream().map(end -> isProvedBy(end, hasEnded) ? end.asConfirmed() : end).toList();
  }

  /** Forgets ends that no longer count. */
  public void removeExpired(long nowMillis) {
    for (Map<Long, List<RunnerTermination>> rank :
        List.of(singleTerminations, repeatedTerminations)) {
      rank.values().removeIf(ends -> ends.stream().noneMatch(end -> isRetained(end, nowMillis)));
    }
    clearedMillis.values().removeIf(at -> nowMillis - at >= settings.confirmedRetentionMillis());
    if (knownChecksums.size() > 2 * size()) {
      knownChecksums.clear();
      singleTerminations
          .keySet()
          .forEach(request -> knownChecksums.add(RequestFingerprint.checksumOf(request)));
      repeatedTerminations
          .keySet()
          .forEach(request -> knownChecksums.add(RequestFingerprint.checksumOf(request)));
    }
  }

  private List<RunnerTermination> knownTerminations(long request) {
    List<RunnerTermination> ends = repeatedTerminations.get(request);
    return ends == null ? singleTerminations.getOrDefault(request, List.of()) : ends;
  }

  private void store(long request, List<RunnerTermination> ends, long nowMillis) {
    singleTerminations.remove(request);
    repeatedTerminations.remove(request);
    boolean several = sequentialTerminations(ends, nowMillis).size() > 1;
    (several ? repeatedTerminations : singleTerminations).put(request, List.copyOf(ends));
    knownChecksums.add(RequestFingerprint.checksumOf(request));
  }

  private boolean isRetained(RunnerTermination end, long nowMillis) {
    long counted =
        end.confirmed()
            ? settings.confirmedRetentionMillis()
            : settings.unconfirmedRetentionMillis();
    return nowMillis - end.endedMillis() < counted;
  }

  /** Returns the ends that count one after the other, the oldest first. */
  private List<RunnerTermination> sequentialTerminations(
      List<RunnerTermination> ends, long nowMillis) {
    List<RunnerTermination> chain = new ArrayList<>();
    long lastMillis = Long.MIN_VALUE;
    for (RunnerTermination end : ends) {
      if (isRetained(end, nowMillis) && end.startedMillis() >= lastMillis) {
        chain.add(end);
        lastMillis = end.endedMillis();
      }
    }
    return chain;
  }
}
