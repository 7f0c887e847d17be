package org.sequoiahub.core.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class FleetLoadTest {

  private static final String RUNNER = "i-1";

  private final FleetLoad loads = new FleetLoad();

  private static Map<String, FleetLoad.Use> use(int requests) {
    return Map.of(
        RUNNER, new FleetLoad.Use(requests, 100L * requests, 0, Map.of("m/a1", requests)));
  }

  @Nested
  class Sums {
    @Test
    void includeThisHostAndTheRequestedSources() {
      loads.add(RUNNER, 1, 10, 0, "m/a1");
      loads.update("near", use(2), true, 1_000);
      loads.update("far", use(4), true, 1_000);
      FleetLoad.Use sum = loads.sums(source -> source.equals("near"), 1_100).get(RUNNER);
      assertThat(sum).isEqualTo(new FleetLoad.Use(3, 210, 0, Map.of("m/a1", 3)));
    }

    @Test
    void excludeOldReports() {
      loads.update("dead", use(2), true, 1_000);
      assertThat(loads.sums(source -> true, 10_000)).isEmpty();
    }
  }

  @Nested
  class SumsByRunner {
    /**
     * Guards against runners that are avoided or flooded because the sums that are kept up to date
     * differ from the reports: hosts report only changes, stop reporting and continue later.
     */
    @Property(tries = 500)
    void equalTheRecentReports(@ForAll @Size(max = 60) List<@IntRange(max = 9_999) Integer> codes) {
      FleetLoad some = new FleetLoad();
      long now = 0;
      for (int code : codes) {
        now += code % 11 == 0 ? 2_600 : 150;
        String runner = "i-" + code % 3;
        int requests = code / 6 % 4;
        if (code % 5 == 0) {
          some.add(runner, 1, 10, 5, "m/a" + code % 2);
        } else if (code % 13 == 0) {
          some.replaceWithTotals(use(requests), now);
        } else {
          some.update(
              "host-" + code % 4,
              Map.of(
                  runner,
                  new FleetLoad.Use(requests, code % 100, code % 50, Map.of("m/a1", requests))),
              code % 7 == 0,
              now);
        }
        Map<String, FleetLoad.Use> sums = some.sums(source -> true, now);
        for (String each : List.of("i-0", "i-1", "i-2")) {
          FleetLoad.Use expected = sums.getOrDefault(each, FleetLoad.NONE);
          assertThat(some.requests(each, now)).isEqualTo(expected.requests());
          assertThat(some.unreadTokens(each, now)).isEqualTo(expected.unreadTokens());
          assertThat(some.queuedTokens(each, now)).isEqualTo(expected.queuedTokens());
          assertThat(some.uses(each, "m/a1", now))
              .isEqualTo(expected.adapters().getOrDefault("m/a1", 0));
        }
      }
    }
  }

  @Nested
  class TotalUses {
    /**
     * Guards against an adapter in high demand that gets no second runner, or an unused one that
     * gets one, because the cached sums by adapter differ from the sums over the runners. Hosts
     * report only changes, revert them, and stop reporting.
     */
    @Property(tries = 500)
    void equalTheSumOverAllRunners(
        @ForAll @Size(max = 30) List<@IntRange(max = 999) Integer> codes) {
      FleetLoad some = new FleetLoad();
      long now = 0;
      for (int code : codes) {
        now += 200;
        String runner = "i-" + code % 3;
        String adapter = "m/a" + code / 3 % 2;
        int requests = code / 6 % 4;
        if (code % 5 == 0) {
          some.add(runner, 1, 0, 0, adapter);
        } else {
          Map<String, FleetLoad.Use> uses =
              Map.of(runner, new FleetLoad.Use(requests, 0, 0, Map.of(adapter, requests)));
          some.update("host-" + code % 4, uses, code % 7 == 0, now);
        }
        for (String target : List.of("m/a0", "m/a1")) {
          int sum = 0;
          for (String each : List.of("i-0", "i-1", "i-2")) {
            sum += some.uses(each, target, now);
          }
          assertThat(some.totalUses(target, now)).isEqualTo(sum);
        }
      }
    }
  }

  @Nested
  class FleetTotals {
    /**
     * Guards against a host that avoids the runners at which it has requests, because it counts
     * them twice: the totals over the fleet include this host's own requests.
     */
    @Test
    void doNotCountOwnRequestsTwice() {
      loads.add(RUNNER, 3, 300, 0, "m/a1");
      loads.replaceWithTotals(use(5), 1_000);
      assertThat(loads.requests(RUNNER, 1_000)).isEqualTo(5);
      assertThat(loads.unreadTokens(RUNNER, 1_000)).isEqualTo(500);
    }

    @Test
    void mayBeOlderThanOwnRequests() {
      loads.add(RUNNER, 3, 300, 0, "m/a1");
      loads.replaceWithTotals(use(1), 1_000);
      assertThat(loads.requests(RUNNER, 1_000)).isEqualTo(3);
    }

    @Test
    void areReplacedByReportsOfTheParts() {
      loads.replaceWithTotals(use(5), 1_000);
      loads.removeTotals();
      loads.update("group a", use(2), true, 1_000);
      assertThat(loads.requests(RUNNER, 1_000)).isEqualTo(2);
    }
  }
}
