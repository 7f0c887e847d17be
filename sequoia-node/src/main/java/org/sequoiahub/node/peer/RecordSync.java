package org.sequoiahub.node.peer;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

import java.util.function.DoubleSupplier;
import org.sequoiahub.core.member.Members;
import org.sequoiahub.core.origin.RunnerKnowledge;
import org.sequoiahub.core.store.StorePosition;
import org.sequoiahub.node.store.KnownTimes;
import org.sequoiahub.node.store.StoreFollower;
import org.sequoiahub.node.store.StoreRegistry;
import org.sequoiahub.runtime.log.EventLog;
import org.sequoiahub.schema.peer.Digest;
import org.sequoiahub.schema.peer.HostState;
import org.sequoiahub.usersplatform.StoredItem;

/**
 * Keeps this host's records up to date with the store, through its own watches and through records
 * pulled from other hosts. Runs on the decision thread.
 */
public final class RecordSync implements RunnerKnowledge {

  /**
   * Divisor of the propagation bound. For this part of it, this host relies on other hosts before
   * it queries the store itself.
   */
  private static final int PEER_WAIT_DIVISOR = 2;

  /** Minimum interval between pulls for kept records (ms). */
  private static final long KEPT_PULL_INTERVAL_MILLIS = 150;

  /** The mean number of hosts of a group that ask the store again within a probe interval. */
  private static final int PROBES_PER_INTERVAL = 2;

  private static final long NOT_DUE = Long.MAX_VALUE;

  private final long boundMillis;
  private final long peerWaitMillis;
  private final long startedMillis;
  private final FleetTopology topology;
  private final Members<HostState> members;
  private final StoreRegistry store;
  private final StoreFollower operators;
  private final StoreFollower runners;
  private final StoreReaders readers;
  private final DoubleSupplier draw;
  private final RecordExchange exchange;
  private final Runnable changeListener;
  private final EventLog log;
  private long keptPulledMillis = Long.MIN_VALUE / 2;
  private long delegateLastSeenMillis = Long.MIN_VALUE / 2;

  /** When this host asks the store although it relies on others; {@link #NOT_DUE} if not. */
  private long probeDueMillis = NOT_DUE;

  /** What the store had answered when this host last stated it to others. */
  private KnownTimes statedRead = KnownTimes.NEVER;

  /** Until when this host follows the runners itself because that was requested (ms). */
  private long runnersRequestedUntilMillis = Long.MIN_VALUE / 2;

  private final Lag operatorsLag = new Lag();
  private final Lag runnersLag = new Lag();

  /** Tracks for how long other hosts have reported a position that this host lacks. */
  private final class Lag {
    private StorePosition position = StorePosition.NONE;
    private long sinceMillis;
    private long lastReportMillis = Long.MIN_VALUE / 2;

    void report(StorePosition newest, StorePosition completeTo, long nowMillis) {
      boolean ended =
          !position.isAfter(completeTo) || nowMillis - lastReportMillis > peerWaitMillis;
      if (ended) {
        sinceMillis = nowMillis;
      }
      position = ended ? newest : StorePosition.max(position, newest);
      lastReportMillis = nowMillis;
    }

    boolean exceeds(StorePosition completeTo, long millis, long nowMillis) {
      return position.isAfter(completeTo)
          && nowMillis - lastReportMillis <= peerWaitMillis
          && nowMillis - sinceMillis > millis;
    }
  }

  /**
   * Creates the sync of a host.
   *
   * @param boundMillis the propagation bound: the time within which this host must know a change of
   *     the store's records (ms), above 0
   * @param startedMillis when this host's process started
   * @param operators follows the operators' records
   * @param runners follows the runners' entries
   * @param draw returns uniformly distributed random numbers from 0 to 1, by which the calls of the
   *     hosts of a group spread over time
   * @param changeListener called when this host's state has changed by a pulled record or an answer
   *     of the store
   */
  public RecordSync(
      long boundMillis,
      long startedMillis,
      FleetTopology topology,
      Members<HostState> members,
      StoreRegistry store,
      StoreFollower operators,
      StoreFollower runners,
      StoreReaders readers,
      DoubleSupplier draw,
      RecordExchange exchange,
      Runnable changeListener,
      EventLog log) {
    checkArgument(boundMillis > 0, "boundMillis must be above 0, was %s", boundMillis);
    this.boundMillis = boundMillis;
    this.startedMillis = startedMillis;
    this.peerWaitMillis = boundMillis / PEER_WAIT_DIVISOR;
    this.topology = requireNonNull(topology, "topology must not be null");
    this.members = requireNonNull(members, "members must not be null");
    this.store = requireNonNull(store, "store must not be null");
    this.operators = requireNonNull(operators, "operators must not be null");
    this.runners = requireNonNull(runners, "runners must not be null");
    this.readers = requireNonNull(readers, "readers must not be null");
    this.draw = requireNonNull(draw, "draw must not be null");
    this.exchange = requireNonNull(exchange, "exchange must not be null");
    this.changeListener = requireNonNull(changeListener, "changeListener must not be null");
    this.log = requireNonNull(log, "log must not be null");
  }

  /** Makes the store calls that are due. */
  public void tick(long nowMillis) {
    if (nowMillis - startedMillis > boundMillis) {
      // The configuration from other hosts may be outdated, but no better one is available.
      store.activatePending(nowMillis);
    }
    if (watchesStore(nowMillis)) {
      operators.tick(nowMillis);
      runners.tick(nowMillis);
    } else {
      probeIfDue(nowMillis);
      if (operators.isProbing()) {
        operators.tick(nowMillis);
      }
      if (runners.isProbing() || nowMillis < runnersRequestedUntilMillis) {
        runners.tick(nowMillis);
      }
    }
    stateReading();
  }

  /**
   * Asks the store if this host no longer knows the records as of a recent time: the store may
   * answer this host although it does not answer the delegates. All hosts do so once, within a
   * probe interval, and then a few at a time.
   */
  private void probeIfDue(long nowMillis) {
    long interval = operators.timing().meanProbeIntervalMillis();
    if (readers.isCurrent(nowMillis)) {
      probeDueMillis = NOT_DUE;
    } else if (probeDueMillis == NOT_DUE) {
      probeDueMillis = nowMillis + (long) (interval * draw.getAsDouble());
    }
    if (nowMillis >= probeDueMillis) {
      int intervals = Math.max(1, topology.groupSize() / PROBES_PER_INTERVAL);
      probeDueMillis = nowMillis + (long) (interval * intervals * (0.5 + draw.getAsDouble()));
      operators.probe(nowMillis);
      runners.probe(nowMillis);
      log.info(
          "store-probed",
          "operators_known_ms_ago",
          nowMillis - readers.known().operatorsMillis(),
          "runners_known_ms_ago",
          nowMillis - readers.known().runnersMillis());
    }
  }

  /** Lets this host state soon that the store has answered it, for others that rely on it. */
  private void stateReading() {
    KnownTimes read = store.readTimes();
    if (topology.isLarge() && !topology.isDelegate() && !read.equals(statedRead)) {
      changeListener.run();
    }
    statedRead = read;
  }

  /** Returns whether this host, which relies on delegates, reads the store all the same. */
  public boolean isReading(long nowMillis) {
    return readers.isNamed(nowMillis) || operators.isProbing() || runners.isProbing();
  }

  /** Adds what this host states to the hosts that it addresses. */
  public void addReading(HostState.Builder state, long nowMillis) {
    readers.addReading(state, nowMillis);
  }

  /** Adds what this host, as a delegate, states to the hosts of its group. */
  public void addStatement(Digest.Builder digest, long nowMillis) {
    readers.addStatement(digest, nowMillis);
  }

  @Override
  public long knownMillis() {
    return store.runnersKnownMillis();
  }

  @Override
  public void request(long nowMillis) {
    runnersRequestedUntilMillis = nowMillis + peerWaitMillis;
  }

  /** Records how long ago the store answered another host, by a state received from that host. */
  public void readingReceived(String from, HostState state, long nowMillis) {
    readers.stateReceived(from, state, nowMillis);
  }

  /** Applies what a delegate states in a digest, after the reports in that digest. */
  public void digestReceived(String from, Digest digest, long nowMillis) {
    readers.digestReceived(from, digest, nowMillis);
    long known = readers.known().operatorsMillis();
    if (store.isInitialized() && nowMillis - known <= boundMillis) {
      store.confirmed(known, nowMillis);
    }
  }

  /** Pulls the records that another host's state shows to be newer than this host's. */
  public void stateReceived(String from, HostState state, long nowMillis) {
    StorePosition operatorsCompleteTo = store.operatorsCompleteTo();
    StorePosition runnersCompleteTo = store.runnersCompleteTo();
    StorePosition newestOperators =
        StateCodec.decodePosition(state.getConfigEra(), state.getConfigRevision());
    StorePosition newestRunners =
        StateCodec.decodePosition(state.getRunnersEra(), state.getRunnersRevision());
    boolean behind = newestOperators.isAfter(operatorsCompleteTo);
    boolean runnersBehind = newestRunners.isAfter(runnersCompleteTo);
    if (behind) {
      operatorsLag.report(newestOperators, operatorsCompleteTo, nowMillis);
    }
    if (runnersBehind) {
      runnersLag.report(newestRunners, runnersCompleteTo, nowMillis);
    }
    if (behind
        || (runnersBehind && !expectsRunnersFromWatch(nowMillis))
        || mayLackKeptRecords(state, nowMillis)) {
      members
          .find(from)
          .ifPresent(
              member ->
                  exchange.pull(member.ip(), operatorsCompleteTo, runnersCompleteTo, nowMillis));
    }
  }

  /**
   * Returns whether another host may keep records, which the restored store lacks, that this host
   * does not have. Two hosts may differ for long, so they are not asked for at each state.
   */
  private boolean mayLackKeptRecords(HostState state, long nowMillis) {
    if (state.getKeptRecords() == 0
        || state.getKeptRecords() == store.keptChecksum()
        || nowMillis - keptPulledMillis < KEPT_PULL_INTERVAL_MILLIS) {
      return false;
    }
    keptPulledMillis = nowMillis;
    return true;
  }

  /**
   * Returns whether this host's own watch of the runners is expected to deliver the same changes.
   * Runners change constantly and have many entries, so a pull would be wasteful.
   */
  private boolean expectsRunnersFromWatch(long nowMillis) {
    return watchesStore(nowMillis)
        && runners.isReachable()
        && readers.readsRunners(nowMillis)
        && !runnersLag.exceeds(store.runnersCompleteTo(), peerWaitMillis, nowMillis);
  }

  /** Applies the records that another host returned. */
  public void recordsReceived(PulledRecords records, long nowMillis) {
    exchange.answered(records.ip());
    int changes = 0;
    for (StoredItem item : records.items()) {
      changes += store.applyFromPeer(item, nowMillis) ? 1 : 0;
    }
    store.completeTo(records.operatorsCompleteTo(), records.runnersCompleteTo(), nowMillis);
    for (StoredItem item : records.kept()) {
      changes += store.applyKept(item, nowMillis) ? 1 : 0;
    }
    if (records.confirmedMillisAgo() <= boundMillis) {
      store.confirmed(nowMillis - records.confirmedMillisAgo(), nowMillis);
    }
    if (changes > 0) {
      log.info("records-from-peer", "peer", records.ip(), "news", changes);
      changeListener.run();
    }
  }

  /** Records that a datagram of another host was received. */
  public void datagramReceived(String from, long nowMillis) {
    if (topology.isDelegateOfOwnGroup(from)) {
      delegateLastSeenMillis = nowMillis;
    }
  }

  /**
   * Returns whether this host watches the store. In a large fleet the delegates do, or the readers
   * that they name, and the other hosts receive changes from them. A host that receives nothing
   * from its delegates, or that lacks reported changes, cannot wait until it suspects them and
   * queries the store itself.
   */
  private boolean watchesStore(long nowMillis) {
    return !store.isInitialized()
        || !topology.isLarge()
        || topology.isDelegate()
        || readers.isNamed(nowMillis)
        || nowMillis - delegateLastSeenMillis > peerWaitMillis
        || isBehindPeers(nowMillis);
  }

  private boolean isBehindPeers(long nowMillis) {
    return operatorsLag.exceeds(store.operatorsCompleteTo(), peerWaitMillis, nowMillis)
        || runnersLag.exceeds(store.runnersCompleteTo(), peerWaitMillis, nowMillis);
  }
}
