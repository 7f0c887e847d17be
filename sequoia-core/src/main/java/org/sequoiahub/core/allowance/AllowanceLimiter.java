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
 * Decides whether a workspace may spend, by what all hosts together have spent.
 *
 * <p>Each decision fills a token bucket anew from the start of the window, slot by slot. What other
 * hosts told late thus counts at the time at which it was spent.
 *
 * <p>A request is granted while anything is left and may leave a debt, which is paid back. In debt,
 * fewer are granted the deeper it is, down to the whole burst: were all granted or all refused, the
 * hosts would swing between both together, as they learn of each other late. Small requests are
 * refused last: they cost the workspace little, and most of its callers wait for them.
 *
 * <p>What is not known yet is assumed: a source goes on spending as it did before it was heard
 * last. That makes up for the time that words are on their way. If it stays silent, it may be cut
 * off with callers of its own, so that it is taken to spend also its share of what was left: parts
 * of a fleet that cannot hear each other then stay near the allowance together.
 */
public final class AllowanceLimiter {

  /** A source that was not heard for so many slots (1 s) is silent. */
  private static final long SILENT_AFTER_SLOTS = 4;

  /** A host that knows of no other spends this part of an allowance until it does. */
  private static final double UNKNOWN_FLEET_FRACTION = 0.02;

  /** Shortest time after which a refused request may come back (ms). */
  private static final long MIN_RETRY_MILLIS = 100;

  /** Part of the burst that is left to small requests when large ones are refused. */
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

  /** An allowance that came into force with a slot. */
  private record Change(long slot, Allowance allowance) {}

  /**
   * A decision.
   *
   * @param granted whether the request may be served
   * @param level units that were left before this request; negative for a debt
   * @param retryAfterMillis when anything will be left again, if nothing is
   */
  public record Decision(boolean granted, double level, long retryAfterMillis) {}

  /**
   * Creates a keeper.
   *
   * @param othersExpected whether there are other hosts, heard or not
   * @param draw draws numbers evenly from 0 (inclusive) to 1 (exclusive)
   * @param startedMillis when this host began to count: before, it knows of nothing
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

  /** Puts the workspaces' allowances in force; what was spent before counts by those before. */
  public void updateAllowances(Collection<Workspace> workspaces, long nowMillis) {
    long slot = SpendingSlots.index(nowMillis);
    for (Workspace workspace : workspaces) {
      List<Change> known = changes.computeIfAbsent(workspace.name(), n -> new ArrayList<>());
      boolean same =
          !known.isEmpty() && known.get(known.size() - 1).allowance.equals(workspace.allowance());
      if (!same) {
        // The first one that is known is taken to have been in force all along.
        known.add(new Change(known.isEmpty() ? Long.MIN_VALUE : slot, workspace.allowance()));
      }
      while (known.size() > 1 && known.get(1).slot < slot - windowSlots()) {
        known.remove(0);
      }
    }
  }

  /**
   * Takes what a request costs from its workspace's allowance, if anything is left.
   *
   * @throws IllegalArgumentException if {@code cost} is negative
   */
  public Decision tryAcquire(Workspace workspace, long cost, long nowMillis) {
    checkArgument(cost >= 0, "cost must not be negative, was %s", cost);
    Allowance allowance = workspace.allowance();
    if (!allowance.isLimited()) {
      return new Decision(true, Double.POSITIVE_INFINITY, 0);
    }
    double unheard = silentHostFraction();
    double level = level(workspace.name(), allowance, 1 - unheard, nowMillis);
    MeanCost mean = meanCosts.computeIfAbsent(workspace.name(), name -> new MeanCost());
    mean.record(cost);
    double needed = Math.min(cost, allowance.burst()) * unheard;
    double debt = allowance.burst() * (1 - unheard) * allowedDebtFraction(mean.relativeCost(cost));
    if (level <= needed - debt) {
      long wait = (long) Math.ceil((needed - level) / allowance.perSecond() * MILLIS_PER_SECOND);
      return new Decision(false, level, Math.max(MIN_RETRY_MILLIS, wait));
    }
    spending.add(workspace.name(), cost, nowMillis);
    return new Decision(true, level, 0);
  }

  /**
   * Returns the part of the burst that a request may find as a debt: of the largest up to a half,
   * drawn anew each time, of the smallest nearly all.
   */
  private double allowedDebtFraction(double relativeCost) {
    double most = 1 - SMALL_REQUEST_RESERVE * relativeCost;
    return most * (1 - draw.getAsDouble() * relativeCost);
  }

  /**
   * Returns the part of the hosts that cannot be heard. So much of a request must be left before it
   * is granted: parts of the fleet that each leave a debt then leave one request's debt together.
   */
  private double silentHostFraction() {
    int unheard = 0;
    for (Source source : spending.sources()) {
      unheard += source.assumedRates == null ? 0 : spending.representedHosts(source);
    }
    return (double) unheard / spending.hostCount();
  }

  /** Gives back what a request cost that has not run. */
  public void refund(Workspace workspace, long cost, long takenMillis) {
    if (workspace.allowance().isLimited()) {
      spending.add(workspace.name(), -cost, takenMillis);
    }
  }

  /** Counts what silent sources are taken to spend, so that this host tells of it, too. */
  public void assumeSilentSpending(long nowMillis) {
    long present = SpendingSlots.index(nowMillis);
    if (present == assumedThroughSlot) {
      return;
    }
    assumedThroughSlot = present;
    for (Source source : spending.sources()) {
      if (present - source.newestReportedSlot > SILENT_AFTER_SLOTS) {
        Map<String, Double> rates = source.assumedRates;
        if (rates == null) {
          assumeUntil(source, ratesPerHost(source, false), present - 1);
          rates = ratesPerHost(source, true);
          source.assumedRates = rates;
        }
        assumeUntil(source, rates, present);
      }
    }
  }

  /**
   * Returns what each host that a source tells of is taken to spend in a slot, by workspace.
   *
   * @param withUnused whether it may take its share of what the fleet left unused, as well
   */
  private Map<String, Double> ratesPerHost(Source source, boolean withUnused) {
    Map<String, Double> rates = new HashMap<>();
    changes.forEach(
        (workspace, known) -> {
          if (known.get(known.size() - 1).allowance.isLimited()) {
            double share = withUnused ? unused(source, workspace) / spending.hostCount() : 0;
            rates.put(workspace, ratePerHost(source, workspace) + share);
          }
        });
    return rates;
  }

  private void assumeUntil(Source source, Map<String, Double> ratesPerHost, long present) {
    int others = spending.representedHosts(source);
    for (long slot = source.newestFilledSlot + 1; slot <= present; slot++) {
      for (Map.Entry<String, Double> rate : ratesPerHost.entrySet()) {
        spending.setAssumed(source, rate.getKey(), slot, rate.getValue() * others);
      }
    }
    source.newestFilledSlot = Math.max(source.newestFilledSlot, present);
  }

  /** Returns what each host that a source tells of spent before it was heard last, by slot. */
  private double ratePerHost(Source source, String workspace) {
    int hosts =
        Math.max(1, spending.isFleetTotal(source) ? source.hostCount - 1 : source.hostCount);
    double spent = spending.spentBeforeLastReport(source, workspace);
    return spent / FleetSpending.RATE_SLOTS / hosts;
  }

  /** Returns what the fleet left unused before a source was heard last, by slot. */
  private double unused(Source source, String workspace) {
    long end = source.newestReportedSlot;
    long spent = 0;
    for (long slot = end - FleetSpending.RATE_SLOTS; slot < end; slot++) {
      spent += spending.fleetSpent(workspace, slot);
    }
    List<Change> known = changes.getOrDefault(workspace, List.of());
    Allowance allowance = allowanceAt(known, Allowance.UNLIMITED, end);
    double allowed = allowance.perSecond() * SpendingSlots.MILLIS / MILLIS_PER_SECOND;
    return Math.max(0, allowed - (double) spent / FleetSpending.RATE_SLOTS);
  }

  /**
   * Returns the units that a workspace has left; negative for a debt.
   *
   * @param burstPart part of the burst that the hosts which can be heard may use: the others have
   *     theirs to themselves
   */
  private double level(String workspace, Allowance allowance, double burstPart, long nowMillis) {
    long present = SpendingSlots.index(nowMillis);
    long windowStart = present - windowSlots() + 1;
    long first = Math.max(windowStart, startSlot);
    List<Change> known = changes.getOrDefault(workspace, List.of());
    List<UnreportedRate> late = unreportedRates(workspace);
    Allowance inForce = allowanceAt(known, allowance, first);
    // A process that has just started knows nothing of the burst that others may have used.
    double level = windowStart > startSlot ? inForce.burst() * burstPart : 0;
    double fleetPart = othersExpected && spending.hostCount() == 1 ? UNKNOWN_FLEET_FRACTION : 1;
    for (long slot = first; slot <= present; slot++) {
      Allowance now = allowanceAt(known, allowance, slot);
      if (!now.equals(inForce)) {
        level = Math.max(0, level);
        inForce = now;
      }
      double part =
          slot == present
              ? (double) (nowMillis - slot * SpendingSlots.MILLIS) / SpendingSlots.MILLIS
              : 1;
      // Spent first: what a refused request was told of its return must then come true.
      level -= spending.fleetSpent(workspace, slot) + unreportedSpending(late, slot) * part;
      level += fleetPart * inForce.perSecond() * SpendingSlots.MILLIS / MILLIS_PER_SECOND * part;
      level = Math.min(level, Math.max(inForce.burst() * burstPart, 1));
    }
    return level;
  }

  /** What a source is taken to spend in each slot after one, as it was not heard since. */
  private record UnreportedRate(long afterSlot, double perSlot) {}

  private List<UnreportedRate> unreportedRates(String workspace) {
    List<UnreportedRate> late = new ArrayList<>();
    for (Source source : spending.sources()) {
      double rate = ratePerHost(source, workspace) * spending.representedHosts(source);
      late.add(new UnreportedRate(source.newestFilledSlot, rate));
    }
    return late;
  }

  private static double unreportedSpending(List<UnreportedRate> late, long slot) {
    double sum = 0;
    for (UnreportedRate each : late) {
      sum += slot > each.afterSlot ? each.perSlot : 0;
    }
    return sum;
  }

  private long windowSlots() {
    return settings.windowMillis() / SpendingSlots.MILLIS;
  }

  private static Allowance allowanceAt(List<Change> known, Allowance otherwise, long slot) {
    Allowance found = otherwise;
    for (Change change : known) {
      if (change.slot <= slot) {
        found = change.allowance;
      }
    }
    return found;
  }
}
