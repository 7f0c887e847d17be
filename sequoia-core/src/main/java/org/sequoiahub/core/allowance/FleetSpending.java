package org.sequoiahub.core.allowance;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongUnaryOperator;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;

/**
 * Account of what each workspace spent on all hosts in the latest window: exact for this host, and
 * as last reported for the others.
 *
 * <p>A report states the amounts of a few slots rather than changes, so that a datagram that is
 * lost, late or duplicated does no harm: the next one states the same slots again.
 */
public final class FleetSpending {

  /**
   * How many slots each report states (1.25 s), so that several reports may be lost in a row before
   * a slot remains unreported.
   */
  private static final int REPORTED_SLOTS = 5;

  /**
   * How many slots a source's rate is computed from (2 s); a long prompt is a single large amount.
   */
  static final int RATE_SLOTS = 8;

  /** By how many slots this host's own spending may be missing from a fleet-wide report. */
  private static final long LOCAL_LAG_SLOTS = 1;

  /**
   * The source name of totals of the whole fleet, this host included; no host has an empty name.
   */
  public static final String FLEET_TOTAL = "";

  /** How long a source without reports is kept (ms). */
  private static final long SOURCE_RETENTION_MILLIS = 30_000;

  /**
   * The maximum number of workspaces and of reporters that are kept per source, so that forged
   * reports cannot exhaust the memory.
   */
  private static final int MAX_ENTRIES_PER_SOURCE = 4_096;

  private final int ringSlots;
  private final Map<String, SpendingSlots> localSpent = new HashMap<>();
  private final Map<String, Source> sources = new HashMap<>();

  /** Another host, or a group of hosts that one host reports on. */
  static final class Source {
    final Map<String, SpendingSlots> spent = new HashMap<>();

    /** The latest report by reporter, so that a report that was overtaken is not applied. */
    final Map<String, LastReport> lastReports = new HashMap<>();

    int hostCount = 1;

    /** The newest slot that was reported. */
    long newestReportedSlot = Long.MIN_VALUE;

    /** The newest slot that was reported or assumed. */
    long newestFilledSlot = Long.MIN_VALUE;

    /**
     * The units per slot that each host is assumed to spend while the source is silent, by
     * workspace; null while it reports.
     */
    @Nullable Map<String, Double> assumedRates;

    long lastReportMillis;
  }

  /**
   * The latest report of a reporter.
   *
   * @param offset this host's index of the slot that the reporter calls 0
   */
  private record LastReport(long offset, long newestSlot, long newestSlotAgeMillis) {

    boolean isBefore(SpendingReport report) {
      return newestSlot < report.newestSlot()
          || (newestSlot == report.newestSlot()
              && newestSlotAgeMillis < report.newestSlotAgeMillis());
    }
  }

  /**
   * Creates an empty account.
   *
   * @param windowMillis how long spending counts
   */
  public FleetSpending(long windowMillis) {
    // A source may be silent for a window; its rate is computed from the slots before.
    this.ringSlots = (int) (windowMillis / SpendingSlots.MILLIS) + RATE_SLOTS + REPORTED_SLOTS;
  }

  /** Adds to this host's own spending; a negative amount refunds what was spent at that time. */
  public void add(String workspace, long amount, long atMillis) {
    localSpent
        .computeIfAbsent(workspace, w -> new SpendingSlots(ringSlots))
        .add(SpendingSlots.index(atMillis), amount);
  }

  /**
   * Applies a report, unless a newer one of the same reporter was applied before.
   *
   * @param source what the report covers: the reporter itself, a group of hosts, or {@link
   *     #FLEET_TOTAL}
   * @param reporter the host and which of its processes, as each process has slot indexes of its
   *     own
   */
  public void applyReport(String source, String reporter, SpendingReport report, long nowMillis) {
    Source state = sources.computeIfAbsent(source, s -> new Source());
    LastReport previous = state.lastReports.get(reporter);
    if (previous != null && !previous.isBefore(report)) {
      return;
    }
    long offset =
        SpendingSlots.index(nowMillis - report.newestSlotAgeMillis()) - report.newestSlot();
    if (previous != null && Math.abs(previous.offset - offset) <= 1) {
      // A varying delay must not move amounts that were reported before to the adjacent slot.
      offset = previous.offset;
    }
    if (state.lastReports.size() >= MAX_ENTRIES_PER_SOURCE) {
      state.lastReports.clear();
    }
    state.lastReports.put(
        reporter, new LastReport(offset, report.newestSlot(), report.newestSlotAgeMillis()));
    state.hostCount = report.hostCount();
    state.lastReportMillis = nowMillis;
    long newest = report.newestSlot() + offset;
    state.assumedRates = null;
    state.newestReportedSlot = Math.max(state.newestReportedSlot, newest);
    state.newestFilledSlot = Math.max(state.newestFilledSlot, state.newestReportedSlot);
    if (state.spent.size() + report.spent().size() > MAX_ENTRIES_PER_SOURCE) {
      state.spent.keySet().retainAll(report.spent().keySet());
    }
    Set<String> workspaces = new HashSet<>(state.spent.keySet());
    report.spent().keySet().stream().limit(MAX_ENTRIES_PER_SOURCE).forEach(workspaces::add);
    for (String workspace : workspaces) {
      SpendingSlots slots =
          state.spent.computeIfAbsent(workspace, w -> new SpendingSlots(ringSlots));
      List<Long> amounts = report.spent().getOrDefault(workspace, List.of());
      for (int age = 0; age < report.slotCount(); age++) {
        long amount = age < amounts.size() ? Math.max(0, amounts.get(age)) : 0;
        slots.set(newest - age, amount);
      }
    }
  }

  /**
   * Removes sources that were silent for long and those that other sources cover.
   *
   * @param isNeeded whether a source still reports on hosts that no other source covers
   */
  public void removeObsoleteSources(Predicate<String> isNeeded, long nowMillis) {
    sources
        .entrySet()
        .removeIf(
            entry ->
                nowMillis - entry.getValue().lastReportMillis >= SOURCE_RETENTION_MILLIS
                    || !isNeeded.test(entry.getKey()));
  }

  /** Returns whether nothing was ever spent under a limit, so that there is nothing to report. */
  public boolean isUnused() {
    return localSpent.isEmpty() && sources.isEmpty();
  }

  /** Returns a report of this host's own spending. */
  public SpendingReport localReport(long nowMillis) {
    return aggregateReport(source -> false, 1, nowMillis);
  }

  /**
   * Returns a report of the spending of all hosts, for hosts that learn of the others through this
   * one.
   */
  public SpendingReport fleetReport(long nowMillis) {
    return aggregateReport(source -> true, hostCount(), nowMillis);
  }

  /**
   * Returns a report of the total of this host and the accepted sources.
   *
   * @param included whether a source is part of the total
   * @param hosts how many hosts the report is to cover; an assumed amount is added for hosts that
   *     no source covers
   */
  public SpendingReport aggregateReport(Predicate<String> included, int hosts, long nowMillis) {
    long newest = SpendingSlots.index(nowMillis);
    int covered = 1;
    Map<String, List<Long>> spent = new HashMap<>();
    localSpent.forEach((workspace, slots) -> addTo(spent, workspace, slots::get, newest));
    for (Map.Entry<String, Source> entry : sources.entrySet()) {
      if (included.test(entry.getKey()) && !entry.getKey().equals(FLEET_TOTAL)) {
        covered += entry.getValue().hostCount;
        entry
            .getValue()
            .spent
            .forEach((workspace, slots) -> addTo(spent, workspace, slots::get, newest));
      }
    }
    int missing = Math.max(0, hosts - covered);
    addAssumed(spent, missing, newest);
    long age = nowMillis - newest * SpendingSlots.MILLIS;
    return new SpendingReport(newest, REPORTED_SLOTS, age, covered + missing, spent);
  }

  /**
   * Adds the assumed spending of hosts that only the fleet-wide total covered, for the slots after
   * its newest reported one. The amounts kept for those slots are assumed for all {@link
   * #unreportedHosts()}, so the fraction {@code missing / unreportedHosts()} of them is added, at
   * most all.
   *
   * @param missing how many hosts the report is to cover that are neither this host nor covered by
   *     an included source
   */
  private void addAssumed(Map<String, List<Long>> spent, int missing, long newest) {
    Source fleetTotal = sources.get(FLEET_TOTAL);
    int unreported = unreportedHosts();
    if (fleetTotal == null || missing == 0 || unreported == 0) {
      return;
    }
    double fraction = Math.min(1, (double) missing / unreported);
    fleetTotal.spent.forEach(
        (workspace, slots) ->
            addTo(
                spent,
                workspace,
                index ->
                    index > fleetTotal.newestReportedSlot
                        ? Math.round(slots.get(index) * fraction)
                        : 0,
                newest));
  }

  private static void addTo(
      Map<String, List<Long>> spent, String workspace, LongUnaryOperator slots, long newest) {
    List<Long> sums = new ArrayList<>();
    List<Long> previous = spent.get(workspace);
    long total = 0;
    for (int age = 0; age < REPORTED_SLOTS; age++) {
      long amount = slots.applyAsLong(newest - age);
      total += amount;
      sums.add(previous == null ? amount : previous.get(age) + amount);
    }
    if (total > 0) {
      spent.put(workspace, sums);
    }
  }

  /** Returns what this host spent in a slot. */
  private long localSpent(String workspace, long index) {
    SpendingSlots slots = localSpent.get(workspace);
    return slots == null ? 0 : slots.get(index);
  }

  /** Returns what the fleet is known or assumed to have spent in a slot. */
  long fleetSpent(String workspace, long index) {
    Source fleetTotal = sources.get(FLEET_TOTAL);
    if (fleetTotal != null && index <= fleetTotal.newestReportedSlot) {
      long reported = spent(fleetTotal, workspace, index);
      // The newest slots of the fleet-wide total may lack this host's spending.
      return index > fleetTotal.newestReportedSlot - LOCAL_LAG_SLOTS
          ? reported + localSpent(workspace, index)
          : reported;
    }
    long sum = localSpent(workspace, index);
    for (Source source : sources.values()) {
      sum += spent(source, workspace, index);
    }
    return sum;
  }

  /** Returns the sources of reports. */
  Iterable<Source> sources() {
    return sources.values();
  }

  /** Sets the assumed amount of a silent source for a slot that it has not reported. */
  void setAssumed(Source source, String workspace, long index, double amount) {
    long units = Math.round(amount);
    if (units > 0) {
      source.spent.computeIfAbsent(workspace, w -> new SpendingSlots(ringSlots)).set(index, units);
    }
  }

  /** Returns the number of hosts, as far as reports cover or covered them. */
  int hostCount() {
    return 1 + reportedHosts() + unreportedHosts();
  }

  /**
   * Returns how many other hosts a source represents; for the fleet-wide total, those that no other
   * source covers.
   */
  int representedHosts(Source source) {
    return isFleetTotal(source) ? unreportedHosts() : source.hostCount;
  }

  /** Returns whether a source is the fleet-wide total, this host included. */
  boolean isFleetTotal(Source source) {
    return source == sources.get(FLEET_TOTAL);
  }

  private int reportedHosts() {
    int hosts = 0;
    for (Map.Entry<String, Source> entry : sources.entrySet()) {
      hosts += entry.getKey().equals(FLEET_TOTAL) ? 0 : entry.getValue().hostCount;
    }
    return hosts;
  }

  /**
   * Returns how many hosts only the fleet-wide total covers: the hosts that its last report counts,
   * less this host and the hosts of all other kept sources; 0 without such a total.
   */
  private int unreportedHosts() {
    Source fleetTotal = sources.get(FLEET_TOTAL);
    return fleetTotal == null ? 0 : Math.max(0, fleetTotal.hostCount - 1 - reportedHosts());
  }

  /**
   * Returns what the other hosts of a source spent in the {@link #RATE_SLOTS} slots before its last
   * report.
   */
  long spentBeforeLastReport(Source source, String workspace) {
    // The newest reported slot was still incomplete.
    long end = source.newestReportedSlot;
    long first = end - RATE_SLOTS;
    long total = sum(source.spent.get(workspace), first, end);
    return Math.max(
        0, isFleetTotal(source) ? total - sum(localSpent.get(workspace), first, end) : total);
  }

  private static long sum(@Nullable SpendingSlots slots, long first, long end) {
    return slots == null ? 0 : slots.sum(first, end);
  }

  private static long spent(Source source, String workspace, long index) {
    SpendingSlots slots = source.spent.get(workspace);
    return slots == null ? 0 : slots.get(index);
  }
}
