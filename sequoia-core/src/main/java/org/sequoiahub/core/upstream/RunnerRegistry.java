package org.sequoiahub.core.upstream;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * The runners as the store publishes them, merged from whole readings, single changes and what
 * other hosts pass on.
 *
 * <p>For each runner the newest store revision wins, wherever it came from, so a reading that is
 * late or stale never brings a runner back that has left since.
 */
public final class RunnerRegistry {

  /**
   * How long a runner whose entry vanished is still used when nothing better is there (ms). Entries
   * also vanish while the store is away and come back within 2 s of its return; without this grace
   * a store that lost all entries would leave a host with no runner at all. Half of the shortest
   * time that operators give for emptying a runner (2 s), which leaves the other half for reading.
   */
  public static final long VANISHED_GRACE_MILLIS = 1_000;

  private final Map<String, TrackedRunner> runners = new HashMap<>();

  /** Incarnations that ended without having said that they leave, by the hash of their key. */
  private final Map<Long, Termination> terminations = new HashMap<>();

  private long revision;

  /**
   * A change of one runner.
   *
   * @param id the id that the runner answers to
   */
  public record Change(String id, long revision, @Nullable RunnerEntry entry) {}

  /** Returns the store revision up to which this book is complete. */
  public long revision() {
    return revision;
  }

  /** Takes in one change; returns whether it is news. */
  public boolean apply(Change change, long nowMillis) {
    TrackedRunner current = runners.get(change.id);
    if (current != null && current.revision >= change.revision) {
      return false;
    }
    RunnerEntry entry = change.entry;
    if (entry == null) {
      if (current == null) {
        runners.put(change.id, new TrackedRunner(change.revision, null, nowMillis, Long.MAX_VALUE));
        return false;
      }
      runners.put(
          change.id,
          new TrackedRunner(change.revision, current.entry, nowMillis, current.terminatesAtMillis));
      recordTermination(current.entry, nowMillis);
      return true;
    }
    RunnerEntry before = current == null ? null : current.entry;
    if (before != null && entry.isOlderThan(before)) {
      return false;
    }
    boolean sameLife = before != null && before.incarnation().equals(entry.incarnation());
    long goneAt =
        entry.remainingMillis() >= 0 ? nowMillis + entry.remainingMillis() : Long.MAX_VALUE;
    if (current != null && sameLife) {
      goneAt = Math.min(goneAt, current.terminatesAtMillis);
    }
    runners.put(change.id, new TrackedRunner(change.revision, entry, -1, goneAt));
    terminations.remove(entry.idHash());
    if (!sameLife) {
      recordTermination(before, nowMillis);
      recordTerminationAtAddress(entry.address(), change, nowMillis);
    }
    return true;
  }

  /** Another process at an address: the one that was there before has ended. */
  private void recordTerminationAtAddress(String address, Change newcomer, long nowMillis) {
    for (Map.Entry<String, TrackedRunner> other : runners.entrySet()) {
      RunnerEntry entry = other.getValue().entry;
      if (entry != null
          && !other.getKey().equals(newcomer.id)
          && entry.address().equals(address)
          && other.getValue().revision < newcomer.revision) {
        recordTermination(entry, nowMillis);
      }
    }
  }

  /**
   * Records that a runner's process has ended, until an entry of it comes again; nothing if it had
   * announced its leaving.
   */
  public void recordTermination(@Nullable RunnerEntry runner, long nowMillis) {
    if (runner != null && !runner.leaving()) {
      terminations.putIfAbsent(runner.idHash(), new Termination(runner.id(), nowMillis));
    }
  }

  /** Returns whether {@link #terminatedIncarnation} knows the end of an incarnation. */
  public boolean hasTerminated(long idHash) {
    return terminations.containsKey(idHash);
  }

  /**
   * Returns the key of an incarnation that is known to have ended without having announced it: its
   * entry vanished, another process has its id or its address, or nobody listens there. Empty if
   * that is not known.
   *
   * @param idHash the hash of the incarnation's key
   */
  public Optional<String> terminatedIncarnation(long idHash) {
    return Optional.ofNullable(terminations.get(idHash)).map(Termination::key);
  }

  /** Records that all changes up to {@code upTo} have been applied. */
  public void markCompleteTo(long upTo) {
    revision = Math.max(revision, upTo);
  }

  /**
   * Takes in a whole reading at {@code atRevision}: what it lacks has left.
   *
   * @param unreadable runners whose entries are there and cannot be read; what was known holds
   */
  public void applySnapshot(
      Collection<Change> entries, Set<String> unreadable, long atRevision, long nowMillis) {
    if (atRevision < revision) {
      return;
    }
    Set<String> present = new HashSet<>(unreadable);
    for (Change entry : entries) {
      present.add(entry.id);
      apply(entry, nowMillis);
    }
    for (String id : List.copyOf(runners.keySet())) {
      TrackedRunner current = runners.get(id);
      if (current != null
          && !present.contains(id)
          && current.vanishedMillis < 0
          && current.revision <= atRevision) {
        apply(new Change(id, atRevision, null), nowMillis);
      }
    }
    markCompleteTo(atRevision);
  }

  /** Returns the runners that may be given new requests, those that vanished just now included. */
  public List<RunnerEntry> usable(long nowMillis) {
    List<RunnerEntry> usable = new ArrayList<>();
    for (TrackedRunner runner : runners.values()) {
      RunnerEntry entry = runner.entry;
      if (entry != null
          && !entry.leaving()
          && nowMillis < runner.terminatesAtMillis
          && (runner.vanishedMillis < 0
              || nowMillis - runner.vanishedMillis < VANISHED_GRACE_MILLIS)) {
        usable.add(entry);
      }
    }
    return usable;
  }

  /** Returns whether a runner's entry vanished. */
  public boolean hasVanished(String runnerId) {
    TrackedRunner runner = runners.get(runnerId);
    return runner == null || runner.vanishedMillis >= 0;
  }

  /** Returns a runner's latest entry, also if it is leaving or vanished. */
  public Optional<RunnerEntry> find(String id) {
    TrackedRunner runner = runners.get(id);
    return Optional.ofNullable(runner == null ? null : runner.entry);
  }

  /** Returns the keys of the incarnations that are known, of runners that left included. */
  public Set<String> incarnationKeys() {
    Set<String> keys = new HashSet<>();
    for (TrackedRunner runner : runners.values()) {
      if (runner.entry != null) {
        keys.add(runner.entry.id());
      }
    }
    return keys;
  }

  /** Forgets runners that vanished long ago. */
  public void removeExpired(long nowMillis, long afterMillis) {
    runners
        .values()
        .removeIf(
            runner ->
                runner.vanishedMillis >= 0 && nowMillis - runner.vanishedMillis > afterMillis);
    terminations.values().removeIf(end -> nowMillis - end.atMillis > afterMillis);
  }

  private record Termination(String key, long atMillis) {}

  /**
   * One runner.
   *
   * @param revision the store revision of the latest change
   * @param entry its latest entry
   * @param vanishedMillis when its entry vanished; negative if it is there
   * @param terminatesAtMillis when it said that it will be gone
   */
  private record TrackedRunner(
      long revision, @Nullable RunnerEntry entry, long vanishedMillis, long terminatesAtMillis) {}
}
