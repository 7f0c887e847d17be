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
 * What each workspace spent in the latest window, over all hosts: this host's own part exactly, the
 * others' as they told it last.
 *
 * <p>What is told is the state of a few slots and not a change, so that a datagram which is lost,
 * late or doubled does no harm: the next one tells the same slots again.
 */
public final class FleetSpending {

  /**
   * Slots that each word tells (1.25 s): a word may be lost several times in a row before a slot
   * goes untold.
   */
  private static final int REPORTED_SLOTS = 5;

  /** Slots from which a source's rate is taken (2 s): a long prompt is a large lump. */
  static final int RATE_SLOTS = 8;

  /** A host that tells the sums of the fleet may have heard of this host's part so much later. */
  private static final long LOCAL_LAG_SLOTS = 1;

  /** The source of sums over the whole fleet, this host included; no host has an empty name. */
  public static final String FLEET_TOTAL = "";

  /** A source that was silent for so long is forgotten (ms). */
  private static final long SOURCE_RETENTION_MILLIS = 30_000;

  /** Workspaces and tellers that are kept of one source: a forged word must not fill the memory. */
  private static final int MAX_ENTRIES_PER_SOURCE = 4_096;

  private final int ringSlots;
  private final Map<String, SpendingSlots> localSpent = new HashMap<>();
  private final Map<String, Source> sources = new HashMap<>();

  /** Another host, or several that one host tells of. */
  static final class Source {
    final Map<String, SpendingSlots> spent = new HashMap<>();

    /** What each teller said last, so that a word which was overtaken is not taken for news. */
    final Map<String, LastReport> lastReports = new HashMap<>();

    int hostCount = 1;

    /** The newest slot told of. */
    long newestReportedSlot = Long.MIN_VALUE;

    /** The newest slot that is told of or assumed. */
    long newestFilledSlot = Long.MIN_VALUE;

    /** What each host is taken to spend while silent, in units a slot; null while it is heard. */
    @Nullable Map<String, Double> assumedRates;

    long lastReportMillis;
  }

  /**
   * A teller's last word.
   *
   * @param offset this host's number of the slot that the teller calls 0
   */
  private record LastReport(long offset, long newestSlot, long newestSlotAgeMillis) {

    boolean isBefore(SpendingReport told) {
      return newestSlot < told.newestSlot()
          || (newestSlot == told.newestSlot() && newestSlotAgeMillis < told.newestSlotAgeMillis());
    }
  }

  /**
   * Creates an account.
   *
   * @param windowMillis for how long what was spent counts
   */
  public FleetSpending(long windowMillis) {
    // A source may be silent for a window; its rate is taken from the slots before.
    this.ringSlots = (int) (windowMillis / SpendingSlots.MILLIS) + RATE_SLOTS + REPORTED_SLOTS;
  }

  /** Adds to this host's own part; a negative amount gives back what was spent at that time. */
  public void add(String workspace, long amount, long atMillis) {
    localSpent
        .computeIfAbsent(workspace, w -> new SpendingSlots(ringSlots))
        .add(SpendingSlots.index(atMillis), amount);
  }

  /**
   * Takes in what a host told.
   *
   * @param source whom it tells of: itself, a group of hosts, or {@link #FLEET_TOTAL}
   * @param teller the host and which of its processes, as each numbers slots in its own way
   */
  public void applyReport(String source, String teller, SpendingReport told, long nowMillis) {
    Source known = sources.computeIfAbsent(source, s -> new Source());
    LastReport before = known.lastReports.get(teller);
    if (before != null && !before.isBefore(told)) {
      return;
    }
    long offset = SpendingSlots.index(nowMillis - told.newestSlotAgeMillis()) - told.newestSlot();
    if (before != null && Math.abs(before.offset - offset) <= 1) {
      // A delay that varies must not move what was told once to the slot beside.
      offset = before.offset;
    }
    if (known.lastReports.size() >= MAX_ENTRIES_PER_SOURCE) {
      known.lastReports.clear();
    }
    known.lastReports.put(
        teller, new LastReport(offset, told.newestSlot(), told.newestSlotAgeMillis()));
    known.hostCount = told.hostCount();
    known.lastReportMillis = nowMillis;
    long newest = told.newestSlot() + offset;
    known.assumedRates = null;
    known.newestReportedSlot = Math.max(known.newestReportedSlot, newest);
    known.newestFilledSlot = Math.max(known.newestFilledSlot, known.newestReportedSlot);
    if (known.spent.size() + told.spent().size() > MAX_ENTRIES_PER_SOURCE) {
      known.spent.keySet().retainAll(told.spent().keySet());
    }
    Set<String> workspaces = new HashSet<>(known.spent.keySet());
    told.spent().keySet().stream().limit(MAX_ENTRIES_PER_SOURCE).forEach(workspaces::add);
    for (String workspace : workspaces) {
      SpendingSlots slots =
          known.spent.computeIfAbsent(workspace, w -> new SpendingSlots(ringSlots));
      List<Long> amounts = told.spent().getOrDefault(workspace, List.of());
      for (int ago = 0; ago < told.slotCount(); ago++) {
        long amount = ago < amounts.size() ? Math.max(0, amounts.get(ago)) : 0;
        slots.set(newest - ago, amount);
      }
    }
  }

  /**
   * Forgets sources that have long been silent, and those that others cover.
   *
   * @param covers whether a source still tells of hosts of which no other one does
   */
  public void removeObsoleteSources(Predicate<String> covers, long nowMillis) {
    sources
        .entrySet()
        .removeIf(
            entry ->
                nowMillis - entry.getValue().lastReportMillis >= SOURCE_RETENTION_MILLIS
                    || !covers.test(entry.getKey()));
  }

  /** Returns whether nothing was ever spent under a limit: then there is nothing to tell. */
  public boolean isUnused() {
    return localSpent.isEmpty() && sources.isEmpty();
  }

  /** Returns this host's own part, for the others. */
  public SpendingReport localReport(long nowMillis) {
    return aggregateReport(source -> false, 1, nowMillis);
  }

  /** Returns the sums over all hosts, for those that hear of the others from this one. */
  public SpendingReport fleetReport(long nowMillis) {
    return aggregateReport(source -> true, hostCount(), nowMillis);
  }

  /**
   * Returns the sums over this host and the sources that {@code included} accepts.
   *
   * @param hosts how many hosts are to be covered: what those spend that no source tells of is
   *     assumed
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
    long ago = nowMillis - newest * SpendingSlots.MILLIS;
    return new SpendingReport(newest, REPORTED_SLOTS, ago, covered + missing, spent);
  }

  /** Adds what hosts are taken to spend that were told of before and are not any more. */
  private void addAssumed(Map<String, List<Long>> spent, int missing, long newest) {
    Source whole = sources.get(FLEET_TOTAL);
    int untold = unreportedHosts();
    if (whole == null || missing == 0 || untold == 0) {
      return;
    }
    double part = Math.min(1, (double) missing / untold);
    whole.spent.forEach(
        (workspace, slots) ->
            addTo(
                spent,
                workspace,
                index -> index > whole.newestReportedSlot ? Math.round(slots.get(index) * part) : 0,
                newest));
  }

  private static void addTo(
      Map<String, List<Long>> spent, String workspace, LongUnaryOperator slots, long newest) {
    List<Long> sums = new ArrayList<>();
    List<Long> before = spent.get(workspace);
    long all = 0;
    for (int ago = 0; ago < REPORTED_SLOTS; ago++) {
      long amount = slots.applyAsLong(newest - ago);
      all += amount;
      sums.add(before == null ? amount : before.get(ago) + amount);
    }
    if (all > 0) {
      spent.put(workspace, sums);
    }
  }

  /** Returns what this host itself spent in a slot. */
  private long localSpent(String workspace, long index) {
    SpendingSlots slots = localSpent.get(workspace);
    return slots == null ? 0 : slots.get(index);
  }

  /** Returns what the fleet is known or assumed to have spent in a slot. */
  long fleetSpent(String workspace, long index) {
    Source whole = sources.get(FLEET_TOTAL);
    if (whole != null && index <= whole.newestReportedSlot) {
      long told = spent(whole, workspace, index);
      // The newest slots of the whole may lack this host's part.
      return index > whole.newestReportedSlot - LOCAL_LAG_SLOTS
          ? told + localSpent(workspace, index)
          : told;
    }
    long sum = localSpent(workspace, index);
    for (Source source : sources.values()) {
      sum += spent(source, workspace, index);
    }
    return sum;
  }

  /** Returns the sources. */
  Iterable<Source> sources() {
    return sources.values();
  }

  /** Takes a silent source to have spent an amount, in place of what it cannot tell. */
  void setAssumed(Source source, String workspace, long index, double amount) {
    long whole = Math.round(amount);
    if (whole > 0) {
      source.spent.computeIfAbsent(workspace, w -> new SpendingSlots(ringSlots)).set(index, whole);
    }
  }

  /** Returns how many hosts there are, as far as they are or were told of. */
  int hostCount() {
    return 1 + reportedHosts() + unreportedHosts();
  }

  /** Returns how many other hosts a source tells of; of the whole, those of which no other does. */
  int representedHosts(Source source) {
    return isFleetTotal(source) ? unreportedHosts() : source.hostCount;
  }

  /** Returns whether a source tells of the whole fleet, this host included. */
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

  /** Hosts that only the sums of the whole fleet tell, or told, of. */
  private int unreportedHosts() {
    Source whole = sources.get(FLEET_TOTAL);
    return whole == null ? 0 : Math.max(0, whole.hostCount - 1 - reportedHosts());
  }

  /** Returns what the other hosts that a source tells of spent before it was heard last. */
  long spentBeforeLastReport(Source source, String workspace) {
    // The newest slot told had only begun.
    long end = source.newestReportedSlot;
    long first = end - RATE_SLOTS;
    long all = sum(source.spent.get(workspace), first, end);
    return Math.max(
        0, isFleetTotal(source) ? all - sum(localSpent.get(workspace), first, end) : all);
  }

  private static long sum(@Nullable SpendingSlots slots, long first, long end) {
    return slots == null ? 0 : slots.sum(first, end);
  }

  private static long spent(Source source, String workspace, long index) {
    SpendingSlots slots = source.spent.get(workspace);
    return slots == null ? 0 : slots.get(index);
  }
}
