package org.sequoiahub.core.allowance;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.DoubleSupplier;
import org.sequoiahub.core.allowance.FleetSpending.Source;
import org.sequoiahub.core.workspace.Allowance;
import org.sequoiahub.core.workspace.Workspace;

/**
 * Decides whether a workspace may spend, from what all hosts together have spent.
 *
 * <p>Each decision replays a token bucket from the start of the window, slot by slot, so that late
 * reports of other hosts count at the time of the spending.
 *
 * <p>A request is granted while any units are left and may leave a debt, which is repaid. The
 * deeper the debt, the fewer requests are granted, down to a debt of the whole burst: if all were
 * granted or all rejected, the hosts would oscillate together, as they learn of each other's
 * spending late. Small requests are rejected last: they cost the workspace little, and most of its
 * callers wait for them.
 *
 * <p>Spending that is not reported yet is assumed: a source continues to spend as it did before its
 * last report, which compensates for reports in transit. A source that remains silent may be
 * partitioned together with callers of its own, so it is assumed to spend its share of the unused
 * allowance as well. The parts of a partitioned fleet then stay near the allowance together.
 */
public final class AllowanceLimiter {

  /** The number of slots without a report after which a source is silent (1 s). */
  private static final long SILENT_AFTER_SLOTS = 4;

  /** The fraction of an allowance that a host may spend until it knows of another one. */
  private static final double UNKNOWN_FLEET_FRACTION = 0.02;

  /** The shortest time after which a rejected request may be retried (ms). */
  private static final long MIN_RETRY_MILLIS = 100;

  /** The fraction of the burst that remains for small requests when large ones are rejected. */
  private static final double SMALL_REQUEST_RESERVE = 0.5;

  private static final double MILLIS_PER_SECOND = 1_000;

  private final FleetSpending spending;
  private final AllowanceSettings settings;
  private final boolean othersExpected;
  private final DoubleSupplier draw;
  private final Map<String, MeanCost> meanCosts = new HashMap<>();
  private final long startSlot;
  private final Map<String, List<Change>> changes = new HashMap<>();
  private long assumedThroughSlot = Long.MIN_VALUE;

  /** An allowance that took effect with a slot. */
  private record Change(long slot, Allowance allowance) {}

  /**
   * The decision about a request.
   *
   * @param granted whether the request may be served
   * @param level the units that were left before this request; negative for a debt
   * @param retryAfterMillis if rejected, the time until any units are left again; otherwise 0
   */
  public record Decision(boolean granted, double level, long retryAfterMillis) {}

  /**
   * Creates a limiter.
   *
   * @param othersExpected whether there are other hosts, reporting or not
   * @param draw supplies uniformly distributed numbers from 0 (inclusive) to 1 (exclusive)
   * @param startedMillis when this host began to count; it has no records of the time before
   */
  public AllowanceLimiter(
      FleetSpending spending,
      AllowanceSettings settings,
      boolean othersExpected,
      DoubleSupplier draw,
      long startedMillis) {
    this.spending = requireNonNull(spending, "spending must not be null");
    this.settings = requireNonNull(settings, "settings must not be null");
    this.othersExpected = othersExpected;
    this.draw = requireNonNull(draw, "draw must not be null");
    this.startSlot = SpendingSlots.index(startedMillis);
  }

  /**
   * Applies the configured allowances; earlier spending counts against the allowances of its time.
   */
  public void updateAllowances(Collection<Workspace> workspaces, long nowMillis) {
    long slot = SpendingSlots.index(nowMillis);
    for (Workspace workspace : workspaces) {
      List<Change> history = changes.computeIfAbsent(workspace.name(), n -> new ArrayList<>());
      boolean same =
          !history.isEmpty()
              && history.get(history.size() - 1).allowance.equals(workspace.allowance());
      if (!same) {
        // The first known allowance is assumed to have been in effect before.
        history.add(new Change(history.isEmpty() ? Long.MIN_VALUE : slot, workspace.allowance()));
      }
      while (history.size() > 1 && history.get(1).slot < slot - windowSlots()) {
        history.remove(0);
      }
    }
  }

  /**
   * Charges the cost of a request to its workspace's allowance, unless the request is rejected.
   *
   * @throws IllegalArgumentException if {@code cost} is negative
   */
  public Decision tryAcquire(Workspace workspace, long cost, long nowMillis) {
    checkArgument(cost >= 0, "cost must not be negative, was %s", cost);
    Allowance allowance = workspace.allowance();
    if (!allowance.isLimited()) {
      return new Decision(true, Double.POSITIVE_INFINITY, 0);
    }
    double silentFraction = silentHostFraction();
    double level = level(workspace.name(), allowance, 1 - silentFraction, nowMillis);
    MeanCost meanCost = meanCosts.computeIfAbsent(workspace.name(), name -> new MeanCost());
    meanCost.record(cost);
    double needed = Math.min(cost, allowance.burst()) * silentFraction;
    double debt =
        allowance.burst() * (1 - silentFraction) * allowedDebtFraction(meanCost.relativeCost(cost));
    if (level <= needed - debt) {
      long wait = (long) Math.ceil((needed - level) / allowance.perSecond() * MILLIS_PER_SECOND);
      return new Decision(false, level, Math.max(MIN_RETRY_MILLIS, wait));
    }
    spending.add(workspace.name(), cost, nowMillis);
    return new Decision(true, level, 0);
  }

  /**
   * Returns the fraction of the burst up to which a request may find the workspace in debt: at most
   * half for the largest requests, drawn anew each time, and nearly all for the smallest.
   */
  private double allowedDebtFraction(double relativeCost) {
    double maxFraction = 1 - SMALL_REQUEST_RESERVE * relativeCost;
    return maxFraction * (1 - draw.getAsDouble() * relativeCost);
  }

  /**
   * Returns the fraction of hosts that are silent. That fraction of a request's cost must be left
   * before the request is granted: parts of the fleet that each leave a debt then leave one
   * request's debt together.
   */
  private double silentHostFraction() {
    int silentHosts = 0;
    for (Source source : spending.sources()) {
      silentHosts += source.assumedRates == null ? 0 : spending.representedHosts(source);
    }
    return (double) silentHosts / spending.hostCount();
  }

  /** Refunds the cost of a request that has not run. */
  public void refund(Workspace workspace, long cost, long takenMillis) {
    if (workspace.allowance().isLimited()) {
      spending.add(workspace.name(), -cost, takenMillis);
    }
  }

  /** Adds the assumed spending of silent sources, so that this host reports it too. */
  public void assumeSilentSpending(long nowMillis) {
    long currentSlot = SpendingSlots.index(nowMillis);
    if (currentSlot == assumedThroughSlot) {
      return;
    }
    assumedThroughSlot = currentSlot;
    for (Source source : spending.sources()) {
      if (currentSlot - source.newestReportedSlot > SILENT_AFTER_SLOTS) {
        Map<String, Double> rates = source.assumedRates;
        if (rates == null) {
          assumeUntil(source, ratesPerHost(source, false), currentSlot - 1);
          rates = ratesPerHost(source, true);
          source.assumedRates = rates;
        }
        assumeUntil(source, rates, currentSlot);
      }
    }
  }

  /**
   * Returns what each host of a source is assumed to spend per slot, by workspace.
   *
   * @param withUnused whether its share of the fleet's unused allowance is included
   */
  private Map<String, Double> ratesPerHost(Source source, boolean withUnused) {
    Map<String, Double> rates = new HashMap<>();
    changes.forEach(
        (workspace, history) -> {
          if (history.get(history.size() - 1).allowance.isLimited()) {
            double share = withUnused ? unused(source, workspace) / spending.hostCount() : 0;
            rates.put(workspace, ratePerHost(source, workspace) + share);
          }
        });
    return rates;
  }

  private void assumeUntil(Source source, Map<String, Double> ratesPerHost, long currentSlot) {
    int hosts = spending.representedHosts(source);
    for (long slot = source.newestFilledSlot + 1; slot <= currentSlot; slot++) {
      for (Map.Entry<String, Double> rate : ratesPerHost.entrySet()) {
        spending.setAssumed(source, rate.getKey(), slot, rate.getValue() * hosts);
      }
    }
    source.newestFilledSlot = Math.max(source.newestFilledSlot, currentSlot);
  }

  /** Returns what each host of a source spent per slot before its last report. */
  private double ratePerHost(Source source, String workspace) {
    int hosts =
        Math.max(1, spending.isFleetTotal(source) ? source.hostCount - 1 : source.hostCount);
    double spent = spending.spentBeforeLastReport(source, workspace);
    return spent / FleetSpending.RATE_SLOTS / hosts;
  }

  /** Returns what the fleet left unused per slot before a source's last report. */
  private double unused(Source source, String workspace) {
    long end = source.newestReportedSlot;
    long spent = 0;
    for (long slot = end - FleetSpending.RATE_SLOTS; slot < end; slot++) {
      spent += spending.fleetSpent(workspace, slot);
    }
    List<Change> history = changes.getOrDefault(workspace, List.of());
    Allowance allowance = allowanceAt(history, Allowance.UNLIMITED, end);
    double allowed = allowance.perSecond() * SpendingSlots.MILLIS / MILLIS_PER_SECOND;
    return Math.max(0, allowed - (double) spent / FleetSpending.RATE_SLOTS);
  }

  /**
   * Returns the units that a workspace has left; negative for a debt.
   *
   * @param burstFraction the fraction of the burst that the reporting hosts may use; the silent
   *     hosts use the rest
   */
  private double level(
      String workspace, Allowance allowance, double burstFraction, long nowMillis) {
    long currentSlot = SpendingSlots.index(nowMillis);
    long windowStart = currentSlot - windowSlots() + 1;
    long first = Math.max(windowStart, startSlot);
    List<Change> history = changes.getOrDefault(workspace, List.of());
    List<UnreportedRate> unreported = unreportedRates(workspace);
    Allowance inForce = allowanceAt(history, allowance, first);
    // A process that has just started doesn't know how much of the burst other hosts have used.
    double level = windowStart > startSlot ? inForce.burst() * burstFraction : 0;
    double fleetFraction = othersExpected && spending.hostCount() == 1 ? UNKNOWN_FLEET_FRACTION : 1;
    for (long slot = first; slot <= currentSlot; slot++) {
      Allowance allowanceNow = allowanceAt(history, allowance, slot);
      if (!allowanceNow.equals(inForce)) {
        level = Math.max(0, level);
        inForce = allowanceNow;
      }
      double elapsedFraction =
          slot == currentSlot
              ? (double) (nowMillis - slot * SpendingSlots.MILLIS) / SpendingSlots.MILLIS
              : 1;
      // Spending counts before the refill: a request retried after the returned delay is then
      // granted.
      level -=
          spending.fleetSpent(workspace, slot)
              + unreportedSpending(unreported, slot) * elapsedFraction;
      level +=
          fleetFraction
              * inForce.perSecond()
              * SpendingSlots.MILLIS
              / MILLIS_PER_SECOND
              * elapsedFraction;
      level = Math.min(level, Math.max(inForce.burst() * burstFraction, 1));
    }
    return level;
  }

  /**
   * What the hosts of a source are assumed to spend in each slot for which no amount is kept.
   *
   * @param afterSlot the source's newest slot with a reported or assumed amount; the rate holds for
   *     the slots after it
   * @param perSlot the units per slot of all hosts that the source represents
   */
  private record UnreportedRate(long afterSlot, double perSlot) {}

  /**
   * Returns what each source is assumed to spend on a workspace in slots without a kept amount:
   * what each of its hosts spent per slot before its last report, times the hosts it represents.
   */
  private List<UnreportedRate> unreportedRates(String workspace) {
    List<UnreportedRate> unreported = new ArrayList<>();
    for (Source source : spending.sources()) {
      double rate = ratePerHost(source, workspace) * spending.representedHosts(source);
      unreported.add(new UnreportedRate(source.newestFilledSlot, rate));
    }
    return unreported;
  }

  private static double unreportedSpending(List<UnreportedRate> unreported, long slot) {
    double sum = 0;
    for (UnreportedRate rate : unreported) {
      sum += slot > rate.afterSlot ? rate.perSlot : 0;
    }
    return sum;
  }

  private long windowSlots() {
    return settings.windowMillis() / SpendingSlots.MILLIS;
  }

  private static Allowance allowanceAt(
      List<Change> history, Allowance defaultAllowance, long slot) {
    Allowance found = defaultAllowance;
    for (Change change : history) {
      if (change.slot <= slot) {
        found = change.allowance;
      }
    }
    return found;
  }
}
