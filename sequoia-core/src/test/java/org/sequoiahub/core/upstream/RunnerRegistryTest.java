package org.sequoiahub.core.upstream;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sequoiahub.core.store.StorePosition;
import org.sequoiahub.core.upstream.RunnerRegistry.Change;

class RunnerRegistryTest {

  private static StorePosition at(long revision) {
    return new StorePosition(1, revision);
  }

  private static RunnerEntry entry(String id, boolean leaving, long remaining) {
    return new RunnerEntry(
        RunnerIncarnation.of(id),
        0,
        "s",
        SoftwareVersion.of("v1"),
        "10.0.0.1:80",
        "d",
        4,
        leaving,
        remaining,
        0,
        Set.of(),
        Map.of());
  }

  /**
   * Guards against a runner that receives requests again after it has left.
   *
   * <p>Its changes arrive late, twice and out of order, from the store and from other hosts. An
   * older record must never win over a newer one.
   */
  @Property(tries = 2_000, seed = "20261212")
  void newestRevisionWinsInAnyOrder(
      @ForAll @Size(max = 40) List<@IntRange(min = 1, max = 30) Integer> arrivals) {
    RunnerRegistry registry = new RunnerRegistry();
    Map<String, Change> newest = new HashMap<>();
    for (int revision : arrivals) {
      String id = "r" + revision % 3;
      // Every fifth record is a deletion, every fourth announces that the runner leaves.
      Change change =
          new Change(id, at(revision), revision % 5 == 0 ? null : entry(id, revision % 4 == 0, -1));
      registry.apply(change, 0);
      newest.merge(id, change, (a, b) -> List.of(a, b).stream().max(byRevision()).orElseThrow());
    }
    List<String> expected = new ArrayList<>();
    newest.forEach(
        (id, change) -> {
          RunnerEntry last = change.entry();
          if (last != null && !last.leaving()) {
            expected.add(id);
          }
        });
    List<String> usable =
        registry.usable(RunnerRegistry.VANISHED_GRACE_MILLIS).stream()
            .map(RunnerEntry::id)
            .toList();
    assertThat(usable).containsExactlyElementsIn(expected);
  }

  private static Comparator<Change> byRevision() {
    return Comparator.comparing(Change::position);
  }

  @Nested
  class VanishedEntries {
    @Test
    void runnerIsUsedForShortTimeOnly() {
      RunnerRegistry registry = new RunnerRegistry();
      registry.apply(new Change("r", at(1), entry("r", false, -1)), 0);
      registry.apply(new Change("r", at(2), null), 100);
      assertThat(registry.usable(200)).hasSize(1);
      assertThat(registry.hasVanished("r")).isTrue();
      assertThat(registry.usable(100 + RunnerRegistry.VANISHED_GRACE_MILLIS)).isEmpty();
    }

    @Test
    void runnerReturnsWithNewerEntry() {
      RunnerRegistry registry = new RunnerRegistry();
      registry.apply(new Change("r", at(1), entry("r", false, -1)), 0);
      registry.apply(new Change("r", at(2), null), 100);
      registry.apply(new Change("r", at(3), entry("r", false, -1)), 9_000);
      assertThat(registry.usable(9_000)).hasSize(1);
      assertThat(registry.hasVanished("r")).isFalse();
    }

    @Test
    void leavingRunnerIsNotUsedEvenWhenItsEntryVanishes() {
      RunnerRegistry registry = new RunnerRegistry();
      registry.apply(new Change("r", at(1), entry("r", true, -1)), 0);
      registry.apply(new Change("r", at(2), null), 100);
      assertThat(registry.usable(101)).isEmpty();
    }

    @Test
    void snapshotRemovesMissingRunnersExceptNewerOnes() {
      RunnerRegistry registry = new RunnerRegistry();
      registry.apply(new Change("old", at(1), entry("old", false, -1)), 0);
      registry.apply(new Change("new", at(9), entry("new", false, -1)), 0);
      registry.applySnapshot(List.of(), Set.of(), at(5), 10);
      assertThat(registry.hasVanished("old")).isTrue();
      assertThat(registry.hasVanished("new")).isFalse();
    }
  }

  /** The store comes back from an older copy, and gives revisions out again. */
  @Nested
  class RestoredStore {

    private final RunnerRegistry registry = new RunnerRegistry();

    private static StorePosition restored(long revision) {
      return new StorePosition(2, revision);
    }

    private boolean isUsable(long nowMillis) {
      return !registry.usable(nowMillis).isEmpty();
    }

    @Test
    void changeOfLaterEraWinsWithLowerRevision() {
      registry.apply(new Change("r", at(50), entry("r", false, -1)), 0);
      assertThat(registry.apply(new Change("r", restored(9), entry("r", true, -1)), 10)).isTrue();
      assertThat(isUsable(10)).isFalse();
      assertThat(registry.apply(new Change("r", at(60), entry("r", false, -1)), 20)).isFalse();
    }

    @Test
    void runnerThatLeavesGoesOnLeaving() {
      registry.apply(new Change("r", at(50), entry("r", true, -1)), 0);
      registry.applySnapshot(
          List.of(new Change("r", restored(9), entry("r", false, -1))), Set.of(), restored(20), 10);
      assertThat(isUsable(10)).isFalse();
      registry.apply(new Change("r", restored(21), entry("r", false, -1)), 20);
      assertThat(isUsable(20)).isFalse();
      registry.apply(
          new Change("r", restored(22), RestartUnderTheSameId.entryOf(2_000, 1, false)), 30);
      assertThat(isUsable(30)).isTrue();
    }

    @Test
    void runnerThatStartsAgainUnderItsIdAfterItsRemovalIsUsed() {
      registry.apply(new Change("r", at(50), entry("r", true, -1)), 0);
      registry.applySnapshot(
          List.of(new Change("r", restored(9), entry("r", false, -1))), Set.of(), restored(20), 10);
      registry.apply(new Change("r", restored(21), null), 5_000);
      registry.apply(new Change("r", restored(22), entry("r", false, -1)), 20_000);
      assertThat(isUsable(20_000)).isTrue();
    }

    @Test
    void removedRunnerIsUsedOnceItHasWrittenItsEntryAgain() {
      registry.apply(new Change("r", at(50), entry("r", false, -1)), 0);
      registry.apply(new Change("r", at(51), null), 10);
      registry.applySnapshot(
          List.of(new Change("r", restored(9), entry("r", false, -1))),
          Set.of(),
          restored(20),
          5_000);
      assertThat(isUsable(5_000)).isFalse();
      registry.apply(new Change("r", restored(21), entry("r", false, -1)), 6_000);
      assertThat(isUsable(6_000)).isTrue();
    }

    @Test
    void missingRunnerIsUsedForGracePeriodAndHasNotTerminated() {
      registry.applySnapshot(
          List.of(new Change("r", at(50), entry("r", false, -1))), Set.of(), at(50), 0);
      registry.applySnapshot(List.of(), Set.of(), restored(20), 10);
      assertThat(isUsable(10 + RunnerRegistry.RESTORED_GRACE_MILLIS - 1)).isTrue();
      assertThat(isUsable(10 + RunnerRegistry.RESTORED_GRACE_MILLIS)).isFalse();
      assertThat(registry.hasTerminated(entry("r", false, -1).idHash())).isFalse();
    }

    @Test
    void leavingKnownToAnotherHostOnlyIsApplied() {
      registry.apply(new Change("r", restored(9), entry("r", false, -1)), 0);
      assertThat(registry.recordLeaving(entry("r", true, -1), 10)).isTrue();
      assertThat(isUsable(10)).isFalse();
      assertThat(registry.recordLeaving(entry("r", true, -1), 20)).isFalse();
      assertThat(registry.recordLeaving(entry("unknown", true, -1), 20)).isTrue();
    }

    @Test
    void firstReadingIsNoRestore() {
      registry.apply(new Change("r", restored(9), entry("r", false, -1)), 0);
      registry.applySnapshot(List.of(), Set.of(), restored(20), 10);
      assertThat(isUsable(10 + RunnerRegistry.VANISHED_GRACE_MILLIS)).isFalse();
    }
  }

  @Nested
  class RestartUnderTheSameId {
    private static RunnerEntry entryOf(long startedAtMillis, long sequence, boolean leaving) {
      return new RunnerEntry(
          new RunnerIncarnation("r", startedAtMillis),
          sequence,
          "s",
          SoftwareVersion.of("v1"),
          "10.0.0.1:80",
          "d",
          4,
          leaving,
          -1,
          0,
          Set.of(),
          Map.of());
    }

    /**
     * Guards against state of a runner from before its restart (its adapters, its load) that is
     * used for the new process, which rejects everything that is sent there.
     *
     * <p>A runner crashes and restarts under its id; its counter starts at zero. Incarnations must
     * not be distinguished by the id alone.
     */
    @Test
    void newIncarnationReplacesTheOldOneAndHasAnotherKey() {
      RunnerRegistry registry = new RunnerRegistry();
      registry.apply(new Change("r", at(1), entryOf(1_000, 40, true)), 0);
      registry.apply(new Change("r", at(2), entryOf(2_000, 0, false)), 10);
      assertThat(registry.usable(20)).containsExactly(entryOf(2_000, 0, false));
      assertThat(registry.incarnationKeys()).containsExactly("r/2000");
    }

    /**
     * Guards against a leaving runner that receives requests, and against a current incarnation
     * that is forgotten.
     *
     * <p>An obsolete copy of the entry is written after a newer one. The store's revision alone is
     * no measure of age.
     */
    @Test
    void obsoleteCopiesChangeNothing() {
      RunnerRegistry registry = new RunnerRegistry();
      registry.apply(new Change("r", at(1), entryOf(2_000, 7, true)), 0);
      assertThat(registry.apply(new Change("r", at(2), entryOf(1_000, 90, false)), 10)).isFalse();
      assertThat(registry.apply(new Change("r", at(3), entryOf(2_000, 6, false)), 10)).isFalse();
      assertThat(registry.usable(20)).isEmpty();
      assertThat(registry.find("r")).hasValue(entryOf(2_000, 7, true));
    }

    /** Applies entries in any order: the latest entry of the latest incarnation decides. */
    @Property(tries = 2_000, seed = "20261220")
    void latestEntryOfTheLatestIncarnationWins(
        @ForAll @Size(min = 1, max = 30) List<@IntRange(min = 0, max = 24) Integer> entries) {
      RunnerRegistry registry = new RunnerRegistry();
      int latestEntry = -1;
      int revision = 0;
      for (int entryNumber : entries) {
        registry.apply(
            new Change("r", at(++revision), entryOf(1 + entryNumber / 5, entryNumber % 5, false)),
            0);
        latestEntry = Math.max(latestEntry, entryNumber);
      }
      RunnerEntry known = registry.find("r").orElseThrow();
      assertThat(known).isEqualTo(entryOf(1 + latestEntry / 5, latestEntry % 5, false));
    }
  }

  @Nested
  class UnreadableEntries {
    @Test
    void snapshotWithUnreadableEntryKeepsTheKnownEntry() {
      RunnerRegistry registry = new RunnerRegistry();
      registry.apply(new Change("r", at(1), entry("r", false, -1)), 0);
      registry.applySnapshot(List.of(), Set.of("r"), at(5), 10);
      assertThat(registry.hasVanished("r")).isFalse();
    }
  }

  @Nested
  class AnnouncedTermination {
    @Test
    void runnerIsUnusableAfterItsRemainingTime() {
      RunnerRegistry registry = new RunnerRegistry();
      registry.apply(new Change("r", at(1), entry("r", false, 1_500)), 0);
      assertThat(registry.usable(1_499)).hasSize(1);
      assertThat(registry.usable(1_500)).isEmpty();
    }
  }
}
