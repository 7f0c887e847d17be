package org.sequoiahub.core.upstream;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;
import org.sequoiahub.core.store.StorePosition;

/**
 * The runners as published in the store, merged from snapshots, single changes and what other hosts
 * forward.
 *
 * <p>For each runner the latest store position wins, whatever its source, so a late or stale
 * snapshot never restores a runner that has left since. A store that was restored from an older
 * copy takes nothing back either: a runner that leaves goes on leaving, and one that was removed is
 * not used until it has written its entry again.
 */
public final class RunnerRegistry {

  /**
   * How long a runner whose entry vanished is still used if there is no better one (ms). Entries
   * also vanish while the store is unavailable and return within 2 s of its recovery; without this
   * grace period, a store that lost all entries would leave a host without any runner. This is half
   * of the shortest time that operators allow for draining a runner (2 s), which leaves the other
   * half for reading the change.
   */
  public static final long VANISHED_GRACE_MILLIS = 1_000;

  /**
   * How long a runner is still used that a restored store does not list (ms): runners whose entries
   * were lost write them again within this time.
   */
  public static final long RESTORED_GRACE_MILLIS = 2_000;

  private final Map<String, TrackedRunner> runners = new HashMap<>();

  /** Incarnations that terminated without having announced it, by the hash of their key. */
  private final Map<Long, Termination> terminations = new HashMap<>();

  private final Predicate<String> statedLeaving;
  private final RunnerSightings sightings;
  private StorePosition position = StorePosition.NONE;

  /** Creates an empty registry of runners whose entries alone tell whether they leave. */
  public RunnerRegistry() {
    this(runner -> false, RunnerSightings.IGNORED);
  }

  /**
   * Creates an empty registry.
   *
   * @param statedLeaving whether the incarnation with a key stated elsewhere than in its entry that
   *     it leaves
   * @param sightings notified of all entries
   */
  public RunnerRegistry(Predicate<String> statedLeaving, RunnerSightings sightings) {
    this.statedLeaving = requireNonNull(statedLeaving, "statedLeaving must not be null");
    this.sightings = requireNonNull(sightings, "sightings must not be null");
  }

  /**
   * A change of one runner's entry.
   *
   * @param id the id by which the runner identifies itself
   * @param position the store position of the change
   * @param entry the new entry; null if the entry vanished
   */
  public record Change(String id, StorePosition position, @Nullable RunnerEntry entry) {}

  /** Returns the store position up to which this registry is complete. */
  public StorePosition position() {
    return position;
  }

  /**
   * Applies a change.
   *
   * @return whether it changed what is known
   */
  public boolean apply(Change change, long nowMillis) {
    TrackedRunner current = runners.get(change.id);
    if (current != null && !change.position.isAfter(current.position)) {
      return false;
    }
    RunnerEntry entry = change.entry;
    if (entry == null) {
      if (current == null) {
        sightings.mayHaveMissed(nowMillis);
        runners.put(
            change.id,
            new TrackedRunner(
                change.position, null, false, nowMillis, VANISHED_GRACE_MILLIS, Long.MAX_VALUE));
        return false;
      }
      runners.put(
          change.id,
          new TrackedRunner(
              change.position,
              current.entry,
              false,
              nowMillis,
              VANISHED_GRACE_MILLIS,
              current.terminatesAtMillis));
      recordTermination(current.entry, nowMillis);
      if (current.entry != null) {
        sightings.seen(current.entry, nowMillis);
      }
      return true;
    }
    sightings.seen(entry, nowMillis);
    RunnerEntry previous = current == null ? null : current.entry;
    if (previous != null) {
      sightings.seen(previous, nowMillis);
    }
    if (current != null && previous != null && isObsolete(change.position, entry, current)) {
      runners.put(change.id, current.at(change.position));
      return false;
    }
    boolean sameIncarnation =
        previous != null && previous.incarnation().equals(entry.incarnation());
    boolean leavingKept = keepsLeaving(change);
    if (leavingKept) {
      entry = entry.asLeaving();
    }
    long terminatesAtMillis =
        entry.remainingMillis() >= 0 ? nowMillis + entry.remainingMillis() : Long.MAX_VALUE;
    if (current != null && sameIncarnation) {
      terminatesAtMillis = Math.min(terminatesAtMillis, current.terminatesAtMillis);
    }
    runners.put(
        change.id,
        new TrackedRunner(change.position, entry, leavingKept, -1, 0, terminatesAtMillis));
    terminations.remove(entry.idHash());
    if (!sameIncarnation) {
      recordTermination(previous, nowMillis);
      recordTerminationAtAddress(entry.address(), change, nowMillis);
    }
    return true;
  }

  /**
   * Returns whether a runner goes on leaving whatever a new entry of it says: the entry is of a
   * later era than its announcement, or follows one that was.
   */
  public boolean keepsLeaving(Change change) {
    TrackedRunner current = runners.get(change.id);
    RunnerEntry known = current == null ? null : current.entry;
    return current != null
        && known != null
        && change.entry != null
        && known.leaving()
        && known.incarnation().equals(change.entry.incarnation())
        && (current.leavingKept || change.position.isOfLaterEra(current.position));
  }

  /**
   * Returns whether an entry is an obsolete copy. The first entry of a later era may be: a runner
   * that was removed has shown no sign of life if it is not newer than the last one before.
   */
  private static boolean isObsolete(
      StorePosition position, RunnerEntry entry, TrackedRunner current) {
    RunnerEntry known = current.entry;
    if (known == null) {
      return false;
    }
    boolean unchangedSinceRemoval =
        position.isOfLaterEra(current.position)
            && current.vanishedMillis >= 0
            && entry.incarnation().equals(known.incarnation())
            && entry.sequence() <= known.sequence();
    return unchangedSinceRemoval || entry.isOlderThan(known);
  }

  /**
   * Records that a runner leaves, as another host knows from before the store was restored.
   *
   * @param leaving an entry by which the runner announced that it leaves
   * @return whether this was not known
   */
  public boolean recordLeaving(RunnerEntry leaving, long nowMillis) {
    TrackedRunner current = runners.get(leaving.instance());
    if (current == null) {
      return apply(new Change(leaving.instance(), StorePosition.NONE, leaving), nowMillis);
    }
    RunnerEntry known = current.entry;
    if (known == null || known.leaving() || !known.incarnation().equals(leaving.incarnation())) {
      return false;
    }
    runners.put(
        leaving.instance(),
        new TrackedRunner(
            current.position,
            known.asLeaving(),
            true,
            current.vanishedMillis,
            current.graceMillis,
            current.terminatesAtMillis));
    return true;
  }

  /**
   * Records that the runner that had an address before has terminated, as another process has the
   * address now.
   */
  private void recordTerminationAtAddress(String address, Change newEntry, long nowMillis) {
    for (Map.Entry<String, TrackedRunner> other : runners.entrySet()) {
      RunnerEntry entry = other.getValue().entry;
      if (entry != null
          && !other.getKey().equals(newEntry.id)
          && entry.address().equals(address)
          && newEntry.position.isAfter(other.getValue().position)) {
        recordTermination(entry, nowMillis);
      }
    }
  }

  /**
   * Records that a runner's process has terminated, until a new entry of it arrives. Has no effect
   * if the runner had announced that it leaves.
   */
  public void recordTermination(@Nullable RunnerEntry runner, long nowMillis) {
    if (runner != null && !isLeaving(runner)) {
      terminations.putIfAbsent(runner.idHash(), new Termination(runner.id(), nowMillis));
    }
  }

  /**
   * Returns whether an incarnation is known to have terminated; see {@link #terminatedIncarnation}.
   *
   * @param idHash the hash of the incarnation's key
   */
  public boolean hasTerminated(long idHash) {
    return terminations.containsKey(idHash);
  }

  /**
   * Returns the key of an incarnation that is known to have terminated without having announced it:
   * its entry vanished, another process has its id or its address, or its address refuses
   * connections. Empty if that is not known.
   *
   * @param idHash the hash of the incarnation's key
   */
  public Optional<String> terminatedIncarnation(long idHash) {
    return Optional.ofNullable(terminations.get(idHash)).map(Termination::key);
  }

  /**
   * Records that all changes up to a position have been applied. If it is of a later era, runners
   * without an entry of that era have lost theirs, or left.
   */
  public void markCompleteTo(StorePosition upTo, long nowMillis) {
    boolean restored = isRestored(upTo);
    position = StorePosition.max(position, upTo);
    if (!restored) {
      return;
    }
    for (Map.Entry<String, TrackedRunner> runner : runners.entrySet()) {
      TrackedRunner current = runner.getValue();
      if (upTo.isOfLaterEra(current.position) && current.vanishedMillis < 0) {
        runner.setValue(
            new TrackedRunner(
                upTo,
                current.entry,
                current.leavingKept,
                nowMillis,
                RESTORED_GRACE_MILLIS,
                current.terminatesAtMillis));
      }
    }
  }

  private boolean isRestored(StorePosition at) {
    return at.isOfLaterEra(position) && position.isAfter(StorePosition.NONE);
  }

  /**
   * Applies a snapshot at a position: runners that it lacks have left.
   *
   * @param unreadable runners whose entries exist but cannot be parsed, so that their known entries
   *     remain
   */
  public void applySnapshot(
      Collection<Change> entries, Set<String> unreadable, StorePosition at, long nowMillis) {
    if (position.isAfter(at)) {
      return;
    }
    if (position.isAfter(StorePosition.NONE)) {
      sightings.mayHaveMissed(nowMillis);
    }
    sightings.allRead(nowMillis);
    final boolean restored = isRestored(at);
    Set<String> present = new HashSet<>(unreadable);
    for (Change entry : entries) {
      present.add(entry.id);
      apply(entry, nowMillis);
    }
    for (String id : List.copyOf(runners.keySet())) {
      TrackedRunner current = runners.get(id);
      if (current == null || current.vanishedMillis >= 0 || current.position.isAfter(at)) {
        continue;
      }
      if (unreadable.contains(id)) {
        runners.put(id, current.at(at));
      } else if (!present.contains(id) && (!restored || !at.isOfLaterEra(current.position))) {
        apply(new Change(id, at, null), nowMillis);
      }
    }
    markCompleteTo(at, nowMillis);
  }

  /**
   * Returns the runners that may receive new requests, including those whose entry has just
   * vanished.
   */
  public List<RunnerEntry> usable(long nowMillis) {
    List<RunnerEntry> usable = new ArrayList<>();
    for (TrackedRunner runner : runners.values()) {
      RunnerEntry entry = runner.entry;
      if (entry != null
          && !entry.leaving()
          && nowMillis < runner.terminatesAtMillis
          && (runner.vanishedMillis < 0
              || nowMillis - runner.vanishedMillis < runner.graceMillis)) {
        usable.add(entry);
      }
    }
    return usable;
  }

  /** Returns the runners whose entries exist, including those that leave. */
  public List<RunnerEntry> present() {
    return runners.values().stream()
        .filter(runner -> runner.vanishedMillis < 0)
        .flatMap(runner -> Optional.ofNullable(runner.entry).stream())
        .toList();
  }

  /** Returns whether an incarnation announced that it leaves, by its entry or otherwise. */
  public boolean isLeaving(RunnerEntry runner) {
    return runner.leaving()
        || statedLeaving.test(runner.id())
        || find(runner.instance())
            .filter(latest -> latest.incarnation().equals(runner.incarnation()))
            .map(RunnerEntry::leaving)
            .orElse(false);
  }

  /** Returns whether a runner's entry vanished or was never known. */
  public boolean hasVanished(String runnerId) {
    TrackedRunner runner = runners.get(runnerId);
    return runner == null || runner.vanishedMillis >= 0;
  }

  /** Returns a runner's latest entry, even if the runner is leaving or its entry vanished. */
  public Optional<RunnerEntry> find(String id) {
    TrackedRunner runner = runners.get(id);
    return Optional.ofNullable(runner == null ? null : runner.entry);
  }

  /** Returns the latest entry of the runner with an incarnation's key, as {@link #find} does. */
  public Optional<RunnerEntry> findByKey(String key) {
    return find(key)
        .or(() -> find(RunnerIncarnation.runnerOf(key)))
        .filter(entry -> entry.id().equals(key));
  }

  /** Returns the keys of the known incarnations, including those of runners that left. */
  public Set<String> incarnationKeys() {
    Set<String> keys = new HashSet<>();
    for (TrackedRunner runner : runners.values()) {
      if (runner.entry != null) {
        keys.add(runner.entry.id());
      }
    }
    return keys;
  }

  /**
   * Removes runners whose entries vanished, and terminations recorded, more than {@code
   * afterMillis} ago.
   */
  public void removeExpired(long nowMillis, long afterMillis) {
    runners
        .values()
        .removeIf(
            runner ->
                runner.vanishedMillis >= 0 && nowMillis - runner.vanishedMillis > afterMillis);
    terminations.values().removeIf(termination -> nowMillis - termination.atMillis > afterMillis);
  }

  private record Termination(String key, long atMillis) {}

  /**
   * The state of a runner.
   *
   * @param position the store position of the latest change
   * @param entry the runner's latest entry; null if none is known
   * @param leavingKept whether the runner leaves although the restored store may not say so
   * @param vanishedMillis when its entry vanished; negative if it exists
   * @param graceMillis how long it is still used after its entry vanished (ms)
   * @param terminatesAtMillis when the runner will terminate, according to its entries
   */
  private record TrackedRunner(
      StorePosition position,
      @Nullable RunnerEntry entry,
      boolean leavingKept,
      long vanishedMillis,
      long graceMillis,
      long terminatesAtMillis) {

    TrackedRunner at(StorePosition newPosition) {
      return new TrackedRunner(
          newPosition, entry, leavingKept, vanishedMillis, graceMillis, terminatesAtMillis);
    }
  }
}
