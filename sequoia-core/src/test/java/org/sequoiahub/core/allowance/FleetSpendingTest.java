package org.sequoiahub.core.allowance;

import static com.google.common.truth.Truth.assertThat;
import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.sequoiahub.core.workspace.Allowance;
import org.sequoiahub.core.workspace.Workspace;

class FleetSpendingTest {

  private static final Workspace LIMITED =
      new Workspace("w", 1, new Allowance(1_000, 2_000, Allowance.Unit.TOKENS, 10));

  /** A report and when it arrives. */
  private record DelayedReport(long atMillis, SpendingReport report) {}

  /** The difference between the other host's clock and this one's (ms). */
  private static final long OTHER_CLOCK = 7_654_321;

  /**
   * Guards against a workspace that is rejected, or granted too much, after datagrams were lost or
   * duplicated.
   *
   * <p>Another host reports its spending every 100 ms; reports are delayed by up to 200 ms,
   * duplicated, reordered and lost. They must not be applied as changes, and a varying delay must
   * not move slots.
   */
  @Property(tries = 300, seed = "20261203")
  void lateLostAndDuplicatedReportsAddUpToTheSpending(
      @ForAll @IntRange(min = 0, max = 1_000_000) int seed) {
    Random random = new Random(seed);
    FleetSpending here = new FleetSpending(8_000);
    FleetSpending there = new FleetSpending(8_000);
    List<DelayedReport> reports = new ArrayList<>();
    long spent = 0;
    for (long now = 10_000; now < 16_000; now += 50) {
      if (now < 15_000 && random.nextInt(3) == 0) {
        there.add("w", 100, now + OTHER_CLOCK);
        spent += 100;
      }
      if (now % 100 == 0 && random.nextInt(5) > 0) {
        SpendingReport report = there.localReport(now + OTHER_CLOCK);
        reports.add(new DelayedReport(now + random.nextInt(200), report));
        if (random.nextInt(4) == 0) {
          reports.add(new DelayedReport(now + random.nextInt(200), report));
        }
      }
      for (DelayedReport delayed : List.copyOf(reports)) {
        if (delayed.atMillis <= now) {
          reports.remove(delayed);
          here.applyReport("other", "other 1", delayed.report, now);
        }
      }
    }
    long known = 0;
    for (long slot = SpendingSlots.index(9_000); slot <= SpendingSlots.index(16_000); slot++) {
      known += here.fleetSpent("w", slot);
    }
    assertThat(known).isEqualTo(spent);
  }

  private static long newest(SpendingReport report) {
    return requireNonNull(report.spent().get("w")).get(0);
  }

  @Test
  void aggregateReportCoversThisHostAndIncludedSources() {
    FleetSpending spending = new FleetSpending(8_000);
    spending.add("w", 5, 10_000);
    FleetSpending other = new FleetSpending(8_000);
    other.add("w", 7, 10_000);
    spending.applyReport("a", "a 1", other.localReport(10_000), 10_000);
    spending.applyReport("b", "b 1", other.localReport(10_000), 10_000);
    SpendingReport some = spending.aggregateReport(source -> source.equals("a"), 2, 10_000);
    assertThat(some.hostCount()).isEqualTo(2);
    assertThat(newest(some)).isEqualTo(12);
    assertThat(newest(spending.fleetReport(10_000))).isEqualTo(19);
    assertThat(spending.fleetReport(10_000).hostCount()).isEqualTo(3);
  }

  /** A fleet-wide report includes this host's spending, which must not count twice. */
  @Test
  void localSpendingCountsOnceInTheFleetTotal() {
    FleetSpending here = new FleetSpending(8_000);
    FleetSpending delegate = new FleetSpending(8_000);
    here.add("w", 5, 10_000);
    delegate.applyReport("here", "here 1", here.localReport(10_100), 10_100);
    delegate.add("w", 7, 10_100);
    here.applyReport(FleetSpending.FLEET_TOTAL, "d 1", delegate.fleetReport(11_000), 11_000);
    assertThat(here.fleetSpent("w", SpendingSlots.index(10_000))).isEqualTo(12);
  }

  /**
   * Forged reports with ever new names must neither exhaust the memory nor hide what was spent
   * here.
   */
  @Test
  void forgedReportsAreBounded() {
    FleetSpending spending = new FleetSpending(8_000);
    spending.add("w", 5, 10_000);
    for (int index = 0; index < 200; index++) {
      Map<String, List<Long>> forged = new HashMap<>();
      for (int name = 0; name < 100; name++) {
        forged.put("forged-" + index + "-" + name, List.of(-7L, Long.MAX_VALUE));
      }
      spending.applyReport(
          "x", "x " + index, new SpendingReport(index, 2, 0, 1, forged), 10_000 + index);
    }
    assertThat(spending.fleetSpent("w", SpendingSlots.index(10_000))).isEqualTo(5);
    assertThat(spending.fleetReport(10_300).spent().size()).isAtMost(4_097);
  }

  @Test
  void costOfRequestThatDidNotRunIsRefunded() {
    FleetSpending spending = new FleetSpending(8_000);
    AllowanceLimiter limiter =
        new AllowanceLimiter(spending, AllowanceSettings.DEFAULT, false, () -> 0.999_999, 0);
    limiter.updateAllowances(List.of(LIMITED), 0);
    assertThat(limiter.tryAcquire(LIMITED, 2_500, 20_000).granted()).isTrue();
    AllowanceLimiter.Decision rejected = limiter.tryAcquire(LIMITED, 2_500, 20_000);
    assertThat(rejected.granted()).isFalse();
    assertThat(rejected.retryAfterMillis()).isEqualTo(500);
    limiter.refund(LIMITED, 2_500, 20_000);
    assertThat(limiter.tryAcquire(LIMITED, 10, 20_000).granted()).isTrue();
  }

  @Test
  void rejectedRequestConsumesNothingAndIsGrantedAfterTheReturnedDelay() {
    AllowanceLimiter limiter =
        new AllowanceLimiter(
            new FleetSpending(8_000), AllowanceSettings.DEFAULT, false, () -> 0.999_999, 0);
    limiter.updateAllowances(List.of(LIMITED), 0);
    limiter.tryAcquire(LIMITED, 3_000, 20_000);
    long retry = 0;
    for (int i = 0; i < 50; i++) {
      retry = limiter.tryAcquire(LIMITED, 3_000, 20_000).retryAfterMillis();
    }
    assertThat(retry).isEqualTo(1_000);
    assertThat(limiter.tryAcquire(LIMITED, 3_000, 20_000 + retry + 1).granted()).isTrue();
  }

  /**
   * Guards against callers whose small requests are rejected as often as large ones, although their
   * total is a small part of the allowance.
   *
   * <p>A workspace requests four times its limit, most of it with few large requests. A debt that
   * rejects all requests alike would reject a third of the small ones; either way, the large ones
   * are granted as much as is left.
   */
  @Test
  void smallRequestsAreRejectedLast() {
    Random random = new Random(5);
    Workspace workspace =
        new Workspace("w", 1, new Allowance(29_000, 29_000, Allowance.Unit.TOKENS, 200));
    AllowanceLimiter limiter =
        new AllowanceLimiter(
            new FleetSpending(8_000), AllowanceSettings.DEFAULT, false, random::nextDouble, 0);
    limiter.updateAllowances(List.of(workspace), 0);
    long small = 0;
    long smallRejected = 0;
    long granted = 0;
    for (long now = 20_000; now < 60_000; now += 10) {
      if (random.nextInt(8) == 0) {
        granted += limiter.tryAcquire(workspace, 9_490, now).granted() ? 9_490 : 0;
      }
      if (random.nextInt(12) == 0) {
        small++;
        boolean taken = limiter.tryAcquire(workspace, 885, now).granted();
        smallRejected += taken ? 0 : 1;
        granted += taken ? 885 : 0;
      }
    }
    assertThat((double) smallRejected / small).isLessThan(0.02);
    // Operators accept spending of up to a quarter above the allowance.
    double grantedFraction = granted / (40 * 29_000.0);
    assertThat(grantedFraction).isAtLeast(0.95);
    assertThat(grantedFraction).isAtMost(1.25);
  }
}
