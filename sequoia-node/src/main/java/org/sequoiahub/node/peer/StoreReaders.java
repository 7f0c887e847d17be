package org.sequoiahub.node.peer;

import static java.util.Objects.requireNonNull;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.sequoiahub.core.member.Members;
import org.sequoiahub.core.member.Members.Member;
import org.sequoiahub.core.store.StorePosition;
import org.sequoiahub.node.store.KnownTimes;
import org.sequoiahub.node.store.StoreRegistry;
import org.sequoiahub.node.store.WatchTiming;
import org.sequoiahub.schema.peer.Digest;
import org.sequoiahub.schema.peer.HostState;

/**
 * Tracks, in a large fleet, as of when this host knows the store's records and which hosts of its
 * group read the store.
 *
 * <p>The delegates of a group do so for its other hosts. A delegate that is alive may have lost the
 * store, so it states how long ago the store answered it, or a host of its group. While the store
 * answers none of its delegates, they name hosts that it answers as readers in their place.
 *
 * <p>Statements pass from a host to the delegates of its group, and from these to the hosts of the
 * group. On a cycle, their age would shrink by the delay of each hop.
 *
 * <p>Runs on the decision thread.
 */
public final class StoreReaders {

  /** Readers that a delegate names; one may be lost without a gap. */
  private static final int MAX_NAMED_READERS = 2;

  /** Ages beyond this are stated as this (ms). */
  private static final long MAX_STATED_AGE_MILLIS = 3_600_000;

  private final String self;
  private final FleetTopology topology;
  private final Members<HostState> members;
  private final StoreRegistry store;
  private final WatchTiming operatorsTiming;
  private final WatchTiming runnersTiming;

  /** What hosts of the own group stated last, by host. */
  private final Map<String, Reading> readings = new HashMap<>();

  /** As of when the delegates stated to know the records that this host has. */
  private KnownTimes told = KnownTimes.NEVER;

  private List<String> namedReaders = List.of();
  private long namedUntilMillis = Long.MIN_VALUE / 2;

  /** Positions of the newest records that a host has. */
  private record Positions(StorePosition operators, StorePosition runners) {
    static Positions of(HostState state) {
      return new Positions(
          StateCodec.decodePosition(state.getConfigEra(), state.getConfigRevision()),
          StateCodec.decodePosition(state.getRunnersEra(), state.getRunnersRevision()));
    }
  }

  /** When the store last answered a host, and what the host has. */
  private record Reading(KnownTimes read, Positions newest) {}

  /**
   * Creates the readers as a host knows them.
   *
   * @param self name of the host
   * @param operatorsTiming the timing of the watches of the operators' records
   * @param runnersTiming the timing of the watches of the runners' entries
   */
  public StoreReaders(
      String self,
      FleetTopology topology,
      Members<HostState> members,
      StoreRegistry store,
      WatchTiming operatorsTiming,
      WatchTiming runnersTiming) {
    this.self = requireNonNull(self, "self must not be null");
    this.topology = requireNonNull(topology, "topology must not be null");
    this.members = requireNonNull(members, "members must not be null");
    this.store = requireNonNull(store, "store must not be null");
    this.operatorsTiming = requireNonNull(operatorsTiming, "operatorsTiming must not be null");
    this.runnersTiming = requireNonNull(runnersTiming, "runnersTiming must not be null");
  }

  /** Returns as of when this host knows the records: by its own calls or its delegates. */
  public KnownTimes known() {
    return store.readTimes().latest(told);
  }

  /** Returns whether this host knows the records as of a time that is recent enough. */
  public boolean isCurrent(long nowMillis) {
    return areRecent(known(), nowMillis);
  }

  /** Returns whether the store has answered this host's own calls for the runners of late. */
  public boolean readsRunners(long nowMillis) {
    return nowMillis - store.readTimes().runnersMillis() <= runnersTiming.relianceMillis();
  }

  /** Returns whether a delegate has named this host as a reader. */
  public boolean isNamed(long nowMillis) {
    return nowMillis < namedUntilMillis;
  }

  /** Adds how long ago the store answered this host. */
  public void addReading(HostState.Builder state, long nowMillis) {
    if (topology.isLarge()) {
      KnownTimes read = store.readTimes();
      state
          .setOperatorsReadMsAgo(ageMillis(read.operatorsMillis(), nowMillis))
          .setRunnersReadMsAgo(ageMillis(read.runnersMillis(), nowMillis));
    }
  }

  /** Records what another host stated of itself. */
  public void stateReceived(String from, HostState state, long nowMillis) {
    if (state.hasOperatorsReadMsAgo() && topology.isInOwnGroup(from)) {
      KnownTimes read =
          new KnownTimes(
              nowMillis - Integer.toUnsignedLong(state.getOperatorsReadMsAgo()),
              nowMillis - Integer.toUnsignedLong(state.getRunnersReadMsAgo()));
      readings.put(from, new Reading(read, Positions.of(state)));
    }
  }

  /** Adds what this host, as a delegate, states to the hosts of its group. */
  public void addStatement(Digest.Builder digest, long nowMillis) {
    readings.keySet().removeIf(host -> !topology.isInOwnGroup(host));
    KnownTimes known = store.readTimes();
    boolean delegatesRead = areRecent(known, nowMillis);
    for (Map.Entry<String, Reading> reading : readings.entrySet()) {
      KnownTimes read = reading.getValue().read;
      known = known.latest(withoutMissing(read, reading.getValue().newest));
      delegatesRead |=
          topology.isDelegateOfOwnGroup(reading.getKey()) && areRecent(read, nowMillis);
    }
    namedReaders = delegatesRead ? List.of() : selectReaders(nowMillis);
    digest
        .setOperatorsKnownMsAgo(ageMillis(known.operatorsMillis(), nowMillis))
        .setRunnersKnownMsAgo(ageMillis(known.runnersMillis(), nowMillis))
        .addAllStoreReaders(namedReaders);
  }

  /**
   * Returns what another host stated, except of records of which it has some that this one lacks.
   */
  private KnownTimes withoutMissing(KnownTimes stated, Positions newest) {
    return new KnownTimes(
        newest.operators.isAfter(store.operatorsCompleteTo())
            ? KnownTimes.NEVER.operatorsMillis()
            : stated.operatorsMillis(),
        newest.runners.isAfter(store.runnersCompleteTo())
            ? KnownTimes.NEVER.runnersMillis()
            : stated.runnersMillis());
  }

  /** Selects hosts that the store answers; those that were named before come first. */
  private List<String> selectReaders(long nowMillis) {
    return readings.entrySet().stream()
        .filter(reading -> areRecent(reading.getValue().read, nowMillis))
        .map(Map.Entry::getKey)
        .sorted(
            Comparator.<String, Boolean>comparing(host -> !namedReaders.contains(host))
                .thenComparing(Comparator.naturalOrder()))
        .limit(MAX_NAMED_READERS)
        .toList();
  }

  /**
   * Applies what a delegate of this host's group states, after the report of itself in the same
   * digest.
   */
  public void digestReceived(String from, Digest digest, long nowMillis) {
    if (!topology.isDelegateOfOwnGroup(from) || !digest.getGroup().isEmpty()) {
      return;
    }
    // A delegate of an earlier release states no ages; its digests count as recent knowledge.
    long operatorsAge = Integer.toUnsignedLong(digest.getOperatorsKnownMsAgo());
    long runnersAge = Integer.toUnsignedLong(digest.getRunnersKnownMsAgo());
    KnownTimes known = new KnownTimes(nowMillis - operatorsAge, nowMillis - runnersAge);
    members
        .find(from)
        .map(Member::state)
        .ifPresent(state -> told = told.latest(withoutMissing(known, Positions.of(state))));
    if (digest.getStoreReadersList().contains(self)) {
      namedUntilMillis = nowMillis + operatorsTiming.relianceMillis();
    }
  }

  private boolean areRecent(KnownTimes times, long nowMillis) {
    return nowMillis - times.operatorsMillis() <= operatorsTiming.relianceMillis()
        && nowMillis - times.runnersMillis() <= runnersTiming.relianceMillis();
  }

  private static int ageMillis(long millis, long nowMillis) {
    return (int) Math.max(0, Math.min(MAX_STATED_AGE_MILLIS, nowMillis - millis));
  }
}
