package org.sequoiahub.core.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sequoiahub.core.placement.Rendezvous;
import org.sequoiahub.core.upstream.RunnerEntry;
import org.sequoiahub.core.upstream.RunnerIncarnation;
import org.sequoiahub.core.upstream.SoftwareVersion;

class CandidateShortlistTest {

  private static final String TARGET = "m/a1";

  private final CandidateShortlist shortlist = new CandidateShortlist(new Random(7));

  private static List<RunnerEntry> runners(int count) {
    List<RunnerEntry> runners = new ArrayList<>();
    for (int number = 0; number < count; number++) {
      runners.add(
          new RunnerEntry(
              RunnerIncarnation.of("i-" + number),
              1,
              "s",
              SoftwareVersion.of("v1"),
              "127.0.0.1:" + number,
              "z",
              48,
              false,
              -1,
              0,
              Set.of("m"),
              Map.of()));
    }
    return runners;
  }

  @Nested
  class Selection {
    /** Guards against placements whose cost grows with the number of runners. */
    @Test
    void hasSameSizeForAnyNumberOfRunners() {
      for (int count : new int[] {98, 700, 2_100}) {
        List<RunnerEntry> selected =
            shortlist.select(TARGET, runners(count), runner -> false, runner -> 0);
        assertThat(selected.size()).isAtMost(16);
        assertThat(selected).containsNoDuplicates();
      }
    }

    /** Guards against loads of an adapter that a runner already has, or had recently. */
    @Test
    void containsHoldersAndBeginOfRanking() {
      List<RunnerEntry> all = runners(98);
      RunnerEntry holder = all.get(42);
      List<RunnerEntry> selected =
          shortlist.select(TARGET, all, runner -> runner == holder, runner -> 1);
      assertThat(selected).contains(holder);
      assertThat(selected)
          .containsAtLeastElementsIn(
              Rendezvous.rankingByHash(TARGET, all, RunnerEntry::idHash).subList(0, 8));
    }

    @Test
    void containsAllRunnersOfSmallService() {
      List<RunnerEntry> all = runners(32);
      assertThat(shortlist.select(TARGET, all, runner -> false, runner -> 0)).isEqualTo(all);
    }
  }

  @Nested
  class StaleLoads {
    /**
     * Guards against hosts that all send to the runner that looks least loaded: 200 requests for
     * rare adapters are placed from the same view, in which one runner has just become free.
     */
    @Test
    void doNotSendAllRequestsToOneRunner() {
      List<RunnerEntry> all = runners(98);
      RunnerEntry idle = all.get(0);
      Map<RunnerEntry, Integer> placed = new HashMap<>();
      for (int request = 0; request < 200; request++) {
        RunnerEntry chosen =
            shortlist
                .select("m/a" + request, all, runner -> false, runner -> runner == idle ? 0 : 9_000)
                .stream()
                .min(Comparator.comparingInt(runner -> runner == idle ? 0 : 1))
                .orElseThrow();
        placed.merge(chosen, 1, Integer::sum);
      }
      assertThat(placed.get(idle)).isLessThan(80);
    }
  }
}
