package org.sequoiahub.core.quarantine;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongPredicate;
import java.util.stream.Stream;

/**
 * Decides which requests are quarantined because runners terminate while they process them.
 *
 * <p>Some requests terminate the process of every runner that starts to process them. To the host
 * that made it, each attempt looks like any other lost response, and the caller repeats the request
 * under a new id and to any host; the symptom is a sequence of runners that terminate. No single
 * call can bound that, so every host keeps the terminations that all hosts observed, by the
 * request's fingerprint.
 *
 * <p>A runner that terminates fails all requests in flight on it, so a single termination proves
 * nothing against any of them. The following rules protect innocent requests:
 *
 * <ul>
 *   <li>Only sequential terminations count: an attempt counts if it was sent after the preceding
 *       counted termination. Copies of a request that are in flight on several runners when a
 *       failure domain is lost count once. Reports state ages, which the delay of a report makes
 *       too low, so the earliest times of all reports of a termination are kept.
 *   <li>A termination counts half if the response had started.
 *   <li>A successful response clears a request, as a runner has survived processing it, also from
 *       earlier terminations that become known after the response. A request that recently had one
 *       needs twice as many terminations; otherwise all hosts might quarantine a frequently
 *       repeated request at the same time, after which no successful response could clear it.
 *   <li>A broken connection counts only for {@link QuarantineSettings#unconfirmedRetentionMillis},
 *       unless the runner is found to have terminated.
 * </ul>
 *
 * <p>A request is quarantined for {@link QuarantineSettings#quarantineMillis} after the last
 * termination. It may then be tried: a successful response clears it, one more termination restores
 * the quarantine. One host makes one trial; the others wait for its outcome for a while.
 *
 * <p>Different requests may terminate runners because of a part of their prompts that they share.
 * The parts are recorded like the requests, under fingerprints of their own, and {@link
 * PartQuarantine} decides which of them explain the terminations.
 *
 * <p>Not thread-safe. All times are of the same monotonic clock.
 */
public final class RequestQuarantine {

  /**
   * By how much the times of two terminations may differ because each of two hosts rounds them to
   * its own clock (ms).
   */
  private static final long ROUNDING_MILLIS = 2;

  /**
   * By how much a report may date the termination of a whole request too late (ms), as it states an
   * age: the time that a datagram takes to another host's decision thread.
   */
  private static final long MAX_TRANSIT_MILLIS = 20;

  private static final PartQuarantineSettings PART_SETTINGS = PartQuarantineSettings.DEFAULT;

  /**
   * By how much reports may date the same termination differently (ms). If the difference is
   * larger, the connections of a live runner broke twice.
   */
  private static final long MAX_REPORT_DELAY_MILLIS = 500;

  /** Maximum number of runners of which the last end or sign of life is remembered. */
  private static final int MAX_RUNNERS = 1_024;

  /** How long the decision about parts is used if nothing changes (ms); terminations expire. */
  private static final long PARTS_VALID_MILLIS = 100;

  /**
   * How long hosts wait, after a quarantine has ended, for the trial of one of them (ms): a caller
   * returns and a runner responds within seconds.
   */
  private static final long TRIAL_MILLIS = 30_000;

  private final QuarantineSettings settings;

  private final TrialElection election;

  /** When this host last sent what had been quarantined. */
  private final Map<Long, Long> trialMillis;

  /**
   * Terminations by request, of requests during which a single runner terminated; the loss of a
   * failure domain adds hundreds of these.
   */
  private final Map<Long, List<RunnerTermination>> singleTerminations;

  /**
   * Terminations by request, of requests during which several runners terminated in sequence. They
   * are kept apart from single terminations, which would evict them.
   */
  private final Map<Long, List<RunnerTermination>> repeatedTerminations;

  /** Terminations by prompt part; kept apart from those of requests, which would evict them. */
  private final Map<Long, List<RunnerTermination>> partTerminations;

  private final PartQuarantine partQuarantine;

  /** When runners terminated, whatever they processed. */
  private final Map<Long, Long> runnerEndedMillis;

  /** When requests were sent to runners that responded to them, and so had not terminated. */
  private final Map<Long, Long> runnerAliveMillis;

  /** The quarantined parts; valid until a change or until {@link #partsValidUntilMillis}. */
  private Map<Long, ActiveQuarantine> quarantinedParts = Map.of();

  private long partsValidUntilMillis = Long.MIN_VALUE;

  /**
   * When suspect requests had a successful response at any host, so that earlier terminations are
   * not recorded.
   */
  private final Map<Long, Long> clearedMillis;

  /**
   * When requests last had a successful response at this host, by checksum. Every successful
   * response is recorded, so this must be cheap; a request that shares its checksum with another
   * one merely needs more terminations to be quarantined.
   */
  private final Map<Integer, Long> lastSuccessMillis;

  private final RecentSuccesses recentSuccesses = new RecentSuccesses();

  /**
   * Checksums of the requests that have or had terminations on record; may contain obsolete ones.
   */
  private final Set<Integer> knownChecksums = new HashSet<>();

  private boolean historyLost;

  /** Decides which host tries what was quarantined. */
  @FunctionalInterface
  public interface TrialElection {

    /** Returns whether this host makes the trial of a request or prompt part. */
    boolean isElected(long fingerprint, long nowMillis);
  }

  /** Creates an empty quarantine of a host that makes all trials. */
  public RequestQuarantine(QuarantineSettings settings) {
    this(settings, (fingerprint, nowMillis) -> true);
  }

  /** Creates an empty quarantine. */
  public RequestQuarantine(QuarantineSettings settings, TrialElection election) {
    this.settings = requireNonNull(settings, "settings must not be null");
    this.election = requireNonNull(election, "election must not be null");
    this.trialMillis = boundedMap(settings.maxRequests());
    this.singleTerminations = boundedMap(settings.maxRequests());
    this.repeatedTerminations = boundedMap(settings.maxRequests());
    this.partTerminations = boundedMap(settings.maxRequests());
    this.partQuarantine = new PartQuarantine(PART_SETTINGS, settings.quarantineMillis());
    this.runnerEndedMillis = boundedMap(MAX_RUNNERS);
    this.runnerAliveMillis = boundedMap(MAX_RUNNERS);
    this.clearedMillis = boundedMap(settings.maxRequests());
    this.lastSuccessMillis = boundedMap(settings.maxRequests());
  }

  /**
   * Returns a map that evicts the entry that was inserted first when it exceeds {@code max}
   * entries.
   */
  static <K, V> Map<K, V> boundedMap(int max) {
    return new LinkedHashMap<>() {
      @Override
      protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
        return size() > max;
      }
    };
  }

  /**
   * Records a termination during a request.
   *
   * @return whether it is news to the other hosts; false if the termination was known, even if its
   *     times were corrected, has expired or is superseded by a successful response
   */
  public boolean recordTermination(RunnerTermination termination, long nowMillis) {
    if (successAfter(termination).isPresent()) {
      discardLaterReport(termination, nowMillis);
      return false;
    }
    if (isRefuted(termination) || !isRetained(termination, nowMillis)) {
      return false;
    }
    List<RunnerTermination> known = knownTerminations(termination.request());
    List<RunnerTermination> merged = new ArrayList<>(known);
    RunnerTermination recorded = termination;
    boolean news = true;
    for (RunnerTermination other : known) {
      if (other.runner() == termination.runner()) {
        news = !other.confirmed() && termination.confirmed();
        recorded = other.mergedWith(termination);
        merged.remove(other);
      }
    }
    merged.add(recorded);
    merged.sort(Comparator.comparingLong(RunnerTermination::endedMillis));
    int max =
        termination.isOfPart()
            ? PART_SETTINGS.maxTerminations()
            : settings.maxTerminationsPerRequest();
    if (merged.size() > max) {
      merged.remove(0);
    }
    store(termination.request(), merged, nowMillis);
    runnerEndedMillis.merge(
        termination.runner(),
        recorded.endedMillis(),
        (before, reported) ->
            reported - before > MAX_REPORT_DELAY_MILLIS ? reported : Math.min(before, reported));
    return news;
  }

  /**
   * Discards a termination that precedes a successful response, if a report dated it after the
   * response.
   */
  private void discardLaterReport(RunnerTermination termination, long nowMillis) {
    List<RunnerTermination> known = knownTerminations(termination.request());
    List<RunnerTermination> others =
        known.stream().filter(other -> !isLaterReport(other, termination)).toList();
    if (others.isEmpty()) {
      remove(termination.request());
    } else if (others.size() < known.size()) {
      store(termination.request(), others, nowMillis);
    }
  }

  private static boolean isLaterReport(RunnerTermination known, RunnerTermination corrected) {
    return known.runner() == corrected.runner()
        && known.endedMillis() - corrected.endedMillis() <= MAX_REPORT_DELAY_MILLIS;
  }

  /** Returns what is on record for a termination, or the termination itself if nothing is. */
  public RunnerTermination current(RunnerTermination termination) {
    return knownTerminations(termination.request()).stream()
        .filter(known -> known.runner() == termination.runner())
        .findFirst()
        .orElse(termination);
  }

  /**
   * Records that a request, or a request with a prompt part, had a successful response at this
   * host. Cheap, as it is called for every one.
   *
   * @param atMillis until when it is known that the runner survived
   */
  public void recordSuccess(RequestFingerprint fingerprint, long atMillis) {
    lastSuccessMillis.remove(fingerprint.checksum());
    lastSuccessMillis.put(fingerprint.checksum(), atMillis);
    recentSuccesses.add(fingerprint, atMillis);
  }

  /**
   * Returns whether terminations may be on record for a request with this checksum; if false, there
   * are none.
   */
  public boolean mightContain(int checksum) {
    return knownChecksums.contains(checksum);
  }

  /**
   * Discards the terminations of a request that precede a successful response at any host, and
   * those that become known later.
   *
   * @param atMillis when the response was complete
   * @return whether any were on record
   */
  public boolean clear(long request, long atMillis) {
    clearedMillis.merge(request, atMillis, Math::max);
    List<RunnerTermination> known = knownTerminations(request);
    List<RunnerTermination> later =
        known.stream().filter(termination -> !precedes(termination, atMillis)).toList();
    if (later.size() == known.size()) {
      return false;
    }
    remove(request);
    if (!later.isEmpty()) {
      (later.get(0).isOfPart() ? partTerminations : singleTerminations).put(request, later);
    }
    return true;
  }

  /**
   * Discards the unconfirmed terminations of a runner that preceded a request to which it
   * responded: its connections broke, but its process had not terminated.
   *
   * <p>Only those of prompt parts are discarded. A request whose responses are lost repeatedly is
   * quarantined for a short time in any case, but a part may be shared by most requests.
   *
   * @param sentMillis when the request to which it responded was sent
   */
  public void recordAlive(long runner, long sentMillis) {
    Long endedMillis = runnerEndedMillis.get(runner);
    if (endedMillis == null || endedMillis >= sentMillis || wasAliveAfter(runner, endedMillis)) {
      return;
    }
    runnerAliveMillis.put(runner, sentMillis);
    partTerminations.replaceAll(
        (part, terminations) ->
            terminations.stream().anyMatch(this::isRefuted)
                ? terminations.stream().filter(known -> !isRefuted(known)).toList()
                : terminations);
    partTerminations.values().removeIf(List::isEmpty);
    partsChanged();
  }

  private boolean isRefuted(RunnerTermination termination) {
    return termination.isOfPart()
        && !termination.confirmed()
        && wasAliveAfter(termination.runner(), termination.endedMillis());
  }

  private boolean wasAliveAfter(long runner, long millis) {
    Long aliveMillis = runnerAliveMillis.get(runner);
    return aliveMillis != null && aliveMillis > millis;
  }

  private void remove(long request) {
    singleTerminations.remove(request);
    repeatedTerminations.remove(request);
    partTerminations.remove(request);
    partsChanged();
  }

  private void partsChanged() {
    partsValidUntilMillis = Long.MIN_VALUE;
  }

  /**
   * Returns when the request had a successful response at or after a termination; empty if it had
   * none.
   */
  public Optional<Long> successAfter(RunnerTermination termination) {
    return Optional.ofNullable(clearedMillis.get(termination.request()))
        .filter(atMillis -> precedes(termination, atMillis))
        .or(() -> unannouncedSuccessAfter(termination));
  }

  /**
   * Returns when the request had a successful response at this host, at or after a termination that
   * was not known then; empty if it had none or was cleared since.
   */
  public Optional<Long> unannouncedSuccessAfter(RunnerTermination termination) {
    Long cleared = clearedMillis.get(termination.request());
    return cleared != null && precedes(termination, cleared)
        ? Optional.empty()
        : recentSuccesses
            .find(termination.request())
            .filter(atMillis -> precedes(termination, atMillis));
  }

  private static boolean precedes(RunnerTermination termination, long successMillis) {
    long lateMillis = termination.isOfPart() ? 0 : MAX_TRANSIT_MILLIS;
    return termination.endedMillis() - lateMillis <= successMillis;
  }

  /** Returns the quarantine of a request; empty if it may be sent to a runner. */
  public Optional<ActiveQuarantine> activeQuarantine(long request, long nowMillis) {
    List<RunnerTermination> sequence =
        sequentialTerminations(knownTerminations(request), nowMillis);
    int points = sequence.stream().mapToInt(QuarantineSettings::points).sum();
    if (points < threshold(request, nowMillis)) {
      return Optional.empty();
    }
    long until = sequence.get(sequence.size() - 1).endedMillis() + settings.quarantineMillis();
    return whileHeld(new ActiveQuarantine(sequence, until), nowMillis);
  }

  /** Returns the quarantine while it lasts, and then while another trial may be in progress. */
  private Optional<ActiveQuarantine> whileHeld(ActiveQuarantine quarantine, long nowMillis) {
    long untilMillis = quarantine.untilMillis();
    if (nowMillis < untilMillis) {
      return Optional.of(quarantine);
    }
    long fingerprint = quarantine.terminations().get(0).request();
    boolean mayTry =
        nowMillis >= untilMillis + TRIAL_MILLIS
            || (election.isElected(fingerprint, nowMillis)
                && trialMillis.getOrDefault(fingerprint, Long.MIN_VALUE) < untilMillis);
    return mayTry
        ? Optional.empty()
        : Optional.of(new ActiveQuarantine(quarantine.terminations(), untilMillis + TRIAL_MILLIS));
  }

  /**
   * Records that this host sends a request, which is a trial if the request or a part of its prompt
   * was quarantined.
   *
   * @param fingerprints the fingerprints of the request and of its parts
   */
  public void recordSent(Collection<Long> fingerprints, long nowMillis) {
    for (long fingerprint : fingerprints) {
      if (hasRepeatedTerminations(fingerprint)) {
        trialMillis.put(fingerprint, nowMillis);
      }
    }
  }

  /**
   * Returns the quarantine of the part that is quarantined longest, of the parts of a prompt; empty
   * if none is quarantined.
   */
  public Optional<ActiveQuarantine> activePartQuarantine(Collection<Long> parts, long nowMillis) {
    if (partTerminations.isEmpty()) {
      return Optional.empty();
    }
    Map<Long, ActiveQuarantine> quarantined = quarantinedParts(nowMillis);
    return parts.stream()
        .map(quarantined::get)
        .filter(Objects::nonNull)
        .flatMap(quarantine -> whileHeld(quarantine, nowMillis).stream())
        .max(Comparator.comparingLong(ActiveQuarantine::untilMillis));
  }

  /** Returns the quarantined parts with the terminations that decided it. */
  public Map<Long, ActiveQuarantine> quarantinedParts(long nowMillis) {
    if (nowMillis >= partsValidUntilMillis) {
      quarantinedParts = partQuarantine.quarantined(partEvidence(nowMillis));
      partsValidUntilMillis = nowMillis + PARTS_VALID_MILLIS;
    }
    return quarantinedParts;
  }

  private PartQuarantine.Evidence partEvidence(long nowMillis) {
    List<List<RunnerTermination>> ofRequests =
        repeatedTerminations.entrySet().stream()
            .filter(entry -> activeQuarantine(entry.getKey(), nowMillis).isPresent())
            .map(Map.Entry::getValue)
            .toList();
    return new PartQuarantine.Evidence(
        terminationsByPart(nowMillis),
        ofRequests,
        runnerEndedMillis.values(),
        part -> isKnownGood(part, nowMillis),
        historyLost);
  }

  /** Returns the terminations that still count by prompt part, oldest first. */
  Map<Long, List<RunnerTermination>> terminationsByPart(long nowMillis) {
    Map<Long, List<RunnerTermination>> byPart = new HashMap<>();
    partTerminations.forEach(
        (part, terminations) ->
            byPart.put(
                part,
                terminations.stream().filter(known -> isRetained(known, nowMillis)).toList()));
    return byPart;
  }

  /** Returns whether a request, or requests with a prompt part, recently succeeded at this host. */
  public boolean isKnownGood(long request, long nowMillis) {
    Long lastSuccess = lastSuccessMillis.get(RequestFingerprint.checksumOf(request));
    return lastSuccess != null && nowMillis - lastSuccess < settings.knownGoodMillis();
  }

  private int threshold(long request, long nowMillis) {
    if (isKnownGood(request, nowMillis)) {
      return settings.thresholdKnownGood();
    }
    return historyLost ? settings.thresholdAfterHistoryLoss() : settings.threshold();
  }

  /**
   * Sets whether the fleet may have lost records of terminations because all hosts have restarted.
   *
   * <p>Without a lower threshold, a request that was quarantined before would terminate as many
   * runners as it did at first.
   */
  public void historyLost(boolean lost) {
    historyLost = lost;
  }

  /** Returns whether a termination that still counts is on record for the request. */
  public boolean isSuspect(long request, long nowMillis) {
    return knownTerminations(request).stream()
        .anyMatch(termination -> isRetained(termination, nowMillis));
  }

  /** Returns whether several runners terminated in sequence while they processed the request. */
  public boolean hasRepeatedTerminations(long request) {
    return repeatedTerminations.containsKey(request)
        || partTerminations.getOrDefault(request, List.of()).size() > 1;
  }

  /** Returns the recorded terminations during a request, oldest first. */
  public List<RunnerTermination> terminations(long request) {
    return knownTerminations(request);
  }

  /**
   * Returns when a runner terminated, according to the earliest record of any request; empty if
   * there is no record of it.
   */
  public Optional<Long> terminationMillis(long runner) {
    return terminationMaps().stream()
        .flatMap(terminations -> terminations.values().stream())
        .flatMap(List::stream)
        .filter(termination -> termination.runner() == runner)
        .map(RunnerTermination::endedMillis)
        .min(Long::compare);
  }

  /** Returns whether no terminations are on record. */
  public boolean isEmpty() {
    return singleTerminations.isEmpty()
        && repeatedTerminations.isEmpty()
        && partTerminations.isEmpty();
  }

  /** Returns the number of requests and prompt parts with terminations on record. */
  public int size() {
    return terminationMaps().stream().mapToInt(Map::size).sum();
  }

  /**
   * Returns the terminations of all requests, and of all prompt parts, during which several runners
   * terminated.
   */
  public List<RunnerTermination> repeatedTerminations() {
    return Stream.concat(
            repeatedTerminations.values().stream(),
            partTerminations.values().stream().filter(terminations -> terminations.size() > 1))
        .flatMap(List::stream)
        .toList();
  }

  /** Returns the terminations of all requests and prompt parts that are quarantined now. */
  public List<RunnerTermination> quarantinedTerminations(long nowMillis) {
    return active(nowMillis).stream()
        .flatMap(quarantine -> quarantine.terminations().stream())
        .toList();
  }

  /** Returns all quarantines that are active now, those of prompt parts first. */
  public List<ActiveQuarantine> active(long nowMillis) {
    Stream<ActiveQuarantine> ofParts =
        quarantinedParts(nowMillis).values().stream()
            .flatMap(quarantine -> whileHeld(quarantine, nowMillis).stream());
    Stream<ActiveQuarantine> ofRequests =
        repeatedTerminations.keySet().stream()
            .flatMap(request -> activeQuarantine(request, nowMillis).stream());
    return Stream.concat(ofParts, ofRequests).toList();
  }

  /**
   * Confirms the terminations of runners whose process is known to be gone.
   *
   * @param hasTerminated whether the runner with this hash is known to have terminated
   */
  public void confirmTerminations(LongPredicate hasTerminated) {
    for (Map<Long, List<RunnerTermination>> terminationsByRequest : terminationMaps()) {
      terminationsByRequest.replaceAll(
          (request, terminations) -> {
            boolean any =
                terminations.stream()
                    .anyMatch(termination -> isConfirmedBy(termination, hasTerminated));
            return any ? confirmed(terminations, hasTerminated) : terminations;
          });
    }
  }

  private static boolean isConfirmedBy(RunnerTermination termination, LongPredicate hasTerminated) {
    return !termination.confirmed() && hasTerminated.test(termination.runner());
  }

  private static List<RunnerTermination> confirmed(
      List<RunnerTermination> terminations, LongPredicate hasTerminated) {
    return terminations.stream()
        .map(
            termination ->
                isConfirmedBy(termination, hasTerminated) ? termination.asConfirmed() : termination)
        .toList();
  }

  /** Removes terminations and successful responses that no longer count. */
  public void removeExpired(long nowMillis) {
    for (Map<Long, List<RunnerTermination>> terminationsByRequest : terminationMaps()) {
      terminationsByRequest
          .values()
          .removeIf(
              terminations ->
                  terminations.stream()
                      .noneMatch(termination -> isRetained(termination, nowMillis)));
    }
    clearedMillis
        .values()
        .removeIf(
            successMillis -> nowMillis - successMillis >= settings.confirmedRetentionMillis());
    if (knownChecksums.size() > 2 * size()) {
      knownChecksums.clear();
      terminationMaps().stream()
          .flatMap(terminations -> terminations.keySet().stream())
          .forEach(request -> knownChecksums.add(RequestFingerprint.checksumOf(request)));
    }
    partsChanged();
  }

  private List<Map<Long, List<RunnerTermination>>> terminationMaps() {
    return List.of(singleTerminations, repeatedTerminations, partTerminations);
  }

  private List<RunnerTermination> knownTerminations(long request) {
    return terminationMaps().stream()
        .map(terminations -> terminations.get(request))
        .filter(Objects::nonNull)
        .findFirst()
        .orElse(List.of());
  }

  private void store(long request, List<RunnerTermination> terminations, long nowMillis) {
    remove(request);
    mapFor(terminations, nowMillis).put(request, List.copyOf(terminations));
    knownChecksums.add(RequestFingerprint.checksumOf(request));
  }

  private Map<Long, List<RunnerTermination>> mapFor(
      List<RunnerTermination> terminations, long nowMillis) {
    if (terminations.get(0).isOfPart()) {
      return partTerminations;
    }
    return sequentialTerminations(terminations, nowMillis).size() > 1
        ? repeatedTerminations
        : singleTerminations;
  }

  private boolean isRetained(RunnerTermination termination, long nowMillis) {
    long retentionMillis =
        termination.confirmed()
            ? settings.confirmedRetentionMillis()
            : settings.unconfirmedRetentionMillis();
    return nowMillis - termination.endedMillis() < retentionMillis;
  }

  /** Returns the sequential terminations that still count, oldest first. */
  private List<RunnerTermination> sequentialTerminations(
      List<RunnerTermination> terminations, long nowMillis) {
    List<RunnerTermination> sequence = new ArrayList<>();
    for (RunnerTermination termination : terminations) {
      boolean sequential =
          sequence.isEmpty() || isSequential(sequence.get(sequence.size() - 1), termination);
      if (isRetained(termination, nowMillis) && sequential) {
        sequence.add(termination);
      }
    }
    return sequence;
  }

  /** Returns whether a request was sent after another runner had terminated. */
  static boolean isSequential(RunnerTermination before, RunnerTermination after) {
    return after.startedMillis() >= before.endedMillis() - ROUNDING_MILLIS;
  }
}
