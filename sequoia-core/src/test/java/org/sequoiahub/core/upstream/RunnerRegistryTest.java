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
import org.sequoiahub.core.upstream.RunnerRegistry.Change;

class RunnerRegistryTest {

  private static RunnerEntry entry(String id, boolean leaving, long remaining) {
    return new RunnerEntry(
        RunnerIncarnation.of(id),
        0,
        "s",
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
   * Symptom: a runner that has left gets requests again.
   *
   * <p>Events: its changes come late, twice and out of order, from the store and from other hosts.
   *
   * <p>Cause looked for: an older record that wins over a newer one.
   */
  @Property(tries = 2_000, seed = "20261212")
  void newestRevisionWinsInAnyOrder(
      @ForAll @Size(max = 40) List<@IntRange(min = 1, max = 30) Integer> arrivals) {
    RunnerRegistry book = new RunnerRegistry();
    Map<String, Change> newest = new HashMap<>();
    for (int revision : arrivals) {
      String id = "r" + revision % 3;
      // Every fifth record is a deletion, every fourth says that the runner leaves.
      Change change =
          new Change(id, revision, revision % 5 == 0 ? null : entry(id, revision % 4 == 0, -1));
      book.apply(change, 0);
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
        book.usable(RunnerRegistry.VANISHED_GRACE_MILLIS).stream().map(RunnerEntry::id).toList();
    assertThat(usable).containsExactlyElementsIn(expected);
  }

  private static Comparator<Change> byRevision() {
    return Comparator.comparingLong(Change::revision);
  }

  @Nested
  class Vanishing {
    @Test
    void isUsedForShortWhileOnly() {
      RunnerRegistry book = new RunnerRegistry();
      book.apply(new Change("r", 1, entry("r", false, -1)), 0);
      book.apply(new Change("r", 2, null), 100);
      assertThat(book.usable(200)).hasSize(1);
      assertThat(book.hasVanished("r")).isTrue();
      assertThat(book.usable(100 + RunnerRegistry.VANISHED_GRACE_MILLIS)).isEmpty();
    }

    @Test
    void comesBackWithNewerEntry() {
      RunnerRegistry book = new RunnerRegistry();
      book.apply(new Change("r", 1, entry("r", false, -1)), 0);
      book.apply(new Change("r", 2, null), 100);
      book.apply(new Change("r", 3, entry("r", false, -1)), 9_000);
      assertThat(book.usable(9_000)).hasSize(1);
      assertThat(book.hasVanished("r")).isFalse();
    }

    @Test
    void leavingRunnerIsNotUsedEvenWhenItsEntryVanishes() {
      RunnerRegistry book = new RunnerRegistry();
      book.apply(new Change("r", 1, entry("r", true, -1)), 0);
      book.apply(new Change("r", 2, null), 100);
      assertThat(book.usable(101)).isEmpty();
    }

    @Test
    void wholeReadingRemovesWhatItLacksButNothingNewer() {
      RunnerRegistry book = new RunnerRegistry();
      book.apply(new Change("old", 1, entry("old", false, -1)), 0);
      book.apply(new Change("new", 9, entry("new", false, -1)), 0);
      book.applySnapshot(List.of(), Set.of(), 5, 10);
      assertThat(book.hasVanished("old")).isTrue();
      assertThat(book.hasVanished("new")).isFalse();
    }
  }

  @Nested
  class RestartUnderTheSameId {
    private static RunnerEntry life(long startedAtMillis, long sequence, boolean leaving) {
      return new RunnerEntry(
          new RunnerIncarnation("r", startedAtMillis),
          sequence,
          "s",
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
     * Symptom: what was known of a runner before its restart (its adapters, its load) is used for
     * the new process, which refuses all that is sent there.
     *
     * <p>Events: a runner crashes and starts again under its id; its count begins anew.
     *
     * <p>Cause: lives were told apart by the id alone.
     */
    @Test
    void newLifeReplacesTheOldAndHasAnotherKey() {
      RunnerRegistry book = new RunnerRegistry();
      book.apply(new Change("r", 1, life(1_000, 40, true)), 0);
      book.apply(new Change("r", 2, life(2_000, 0, false)), 10);
      assertThat(book.usable(20)).containsExactly(life(2_000, 0, false));
      assertThat(book.incarnationKeys()).containsExactly("r/2000");
    }

    /**
     * Symptom: a runner that leaves gets requests, or the present life of one is forgotten.
     *
     * <p>Events: an old copy of the entry is written after a newer one.
     *
     * <p>Cause looked for: the store's revision taken as the only measure of age.
     */
    @Test
    void oldCopiesChangeNothing() {
      RunnerRegistry book = new RunnerRegistry();
      book.apply(new Change("r", 1, life(2_000, 7, true)), 0);
      assertThat(book.apply(new Change("r", 2, life(1_000, 90, false)), 10)).isFalse();
      assertThat(book.apply(new Change("r", 3, life(2_000, 6, false)), 10)).isFalse();
      assertThat(book.usable(20)).isEmpty();
      assertThat(book.find("r")).hasValue(life(2_000, 7, true));
    }

    /** The same, in any order of arrival: the latest life and its latest word decide. */
    @Property(tries = 2_000, seed = "20261220")
    void latestWordOfTheLatestLifeWins(
        @ForAll @Size(min = 1, max = 30) List<@IntRange(min = 0, max = 24) Integer> words) {
      RunnerRegistry book = new RunnerRegistry();
      int latest = -1;
      int revision = 0;
      for (int word : words) {
        book.apply(new Change("r", ++revision, life(1 + word / 5, word % 5, false)), 0);
        latest = Math.max(latest, word);
      }
      RunnerEntry known = book.find("r").orElseThrow();
      assertThat(known).isEqualTo(life(1 + latest / 5, latest % 5, false));
    }
  }

  @Nested
  class UnreadableEntries {
    @Test
    void wholeReadingWithUnreadableEntryKeepsWhatWasKnown() {
      RunnerRegistry book = new RunnerRegistry();
      book.apply(new Change("r", 1, entry("r", false, -1)), 0);
      book.applySnapshot(List.of(), Set.of("r"), 5, 10);
      assertThat(book.hasVanished("r")).isFalse();
    }
  }

  @Nested
  class ShortNotice {
    @Test
    void goneWhenItsTimeIsUp() {
      RunnerRegistry book = new RunnerRegistry();
      book.apply(new Change("r", 1, entry("r", false, 1_500)), 0);
      assertThat(book.usable(1_499)).hasSize(1);
      assertThat(book.usable(1_500)).isEmpty();
    }
  }
}
