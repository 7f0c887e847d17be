package org.sequoiahub.node.peer;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

import org.sequoiahub.core.member.Members;
import org.sequoiahub.node.store.StoreFollower;
import org.sequoiahub.node.store.StoreRegistry;
import org.sequoiahub.runtime.log.EventLog;
import org.sequoiahub.schema.peer.HostState;
import org.sequoiahub.usersplatform.StoredItem;

/**
 * Keeps this host's records up to date with the store, through its own watches and through records
 * pulled from other hosts. Runs on the decision thread.
 */
public final class RecordSync {

  /**
   * Divisor of the propagation bound. For this part of it, this host relies on other hosts before
   * it queries the store itself.
   */
  private static final int PEER_WAIT_DIVISOR = 2;

  private final long boundMillis;
  private final long peerWaitMillis;
  private final long startedMillis;
  private final FleetTopology topology;
  private final Members<HostState> members;
  private final StoreRegistry store;
  private final StoreFollower operators;
  private final StoreFollower runners;
  private final RecordExchange exchange;
  private final Runnable changeListener;
  private final EventLog log;
  private long delegateLastSeenMillis = Long.MIN_VALUE / 2;

  private final Lag operatorsLag = new Lag();
  private final Lag runnersLag = new Lag();

  /** Tracks for how long other hosts have reported a revision that this host lacks. */
  private final class Lag {
    private long revision;
    private long sinceMillis;
    private long lastReportMillis = Long.MIN_VALUE / 2;

    void report(long newest, long completeTo, long nowMillis) {
      boolean ended = revision <= completeTo || nowMillis - lastReportMillis > peerWaitMillis;
      if (ended) {
        sinceMillis = nowMillis;
      }
      revision = ended ? newest : Math.max(revision, newest);
      lastReportMillis = nowMillis;
    }

    boolean exceeds(long completeTo, long millis, long nowMillis) {
      return revision > completeTo
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
   * @param changeListener called when a pulled record has changed this host's state
   */
  public RecordSync(
      long boundMillis,
      long startedMillis,
      FleetTopology topology,
      Members<HostState> members,
      StoreRegistry store,
      StoreFollower operators,
      StoreFollower runners,
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
    }
  }

  /** Pulls the records that another host's state shows to be newer than this host's. */
  public void stateReceived(String from, HostState state, long nowMillis) {
    long operatorsCompleteTo = store.operatorsCompleteTo();
    long runnersCompleteTo = store.runnersCompleteTo();
    boolean behind = state.getConfigRevision() > operatorsCompleteTo;
    boolean runnersBehind = state.getRunnersRevision() > runnersCompleteTo;
    if (behind) {
      operatorsLag.report(state.getConfigRevision(), operatorsCompleteTo, nowMillis);
    }
    if (runnersBehind) {
      runnersLag.report(state.getRunnersRevision(), runnersCompleteTo, nowMillis);
    }
    if (behind || (runnersBehind && !expectsRunnersFromWatch(nowMillis))) {
      members
          .find(from)
          .ifPresent(
              member ->
                  exchange.pull(member.ip(), operatorsCompleteTo, runnersCompleteTo, nowMillis));
    }
  }

  /**
   * Returns whether this host's own watch of the runners is expected to deliver the same changes.
   * Runners change constantly and have many entries, so a pull would be wasteful.
   */
  private boolean expectsRunnersFromWatch(long nowMillis) {
    return watchesStore(nowMillis)
        && runners.isReachable()
        && !runnersLag.exceeds(store.runnersCompleteTo(), peerWaitMillis, nowMillis);
  }

  /** Applies the records that another host returned. */
  public void recordsReceived(PulledRecords records, long nowMillis) {
    exchange.answered(records.ip());
    int changes = 0;
    for (StoredItem item : records.items()) {
      changes += store.applyFromPeer(item, nowMillis) ? 1 : 0;
    }
    store.completeTo(records.operatorsCompleteTo(), records.runnersCompleteTo());
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
      if (store.isInitialized() && !isBehindPeers(nowMillis)) {
        store.confirmed(nowMillis, nowMillis);
      }
    }
  }

  /**
   * Returns whether this host watches the store. In a large fleet the delegates do, and the other
   * hosts receive changes from them. A host that receives nothing from its delegates, or that lacks
   * reported changes, cannot wait until it suspects them and queries the store itself.
   */
  private boolean watchesStore(long nowMillis) {
    return !store.isInitialized()
        || !topology.isLarge()
        || topology.isDelegate()
        || nowMillis - delegateLastSeenMillis > peerWaitMillis
        || isBehindPeers(nowMillis);
  }

  private boolean isBehindPeers(long nowMillis) {
    return operatorsLag.exceeds(store.operatorsCompleteTo(), peerWaitMillis, nowMillis)
        || runnersLag.exceeds(store.runnersCompleteTo(), peerWaitMillis, nowMillis);
  }
}
