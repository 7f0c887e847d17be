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
 * Keeps this host's records level with the store's, by watches of its own and by what other hosts
 * read; runs on the decision thread.
 */
public final class RecordSync {

  /** Others are relied on for this part of the time in which a change must be known. */
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

  /** For how long other hosts have told of a change that this one does not have. */
  private final class Lag {
    private long revision;
    private long sinceMillis;
    private long lastReportMillis = Long.MIN_VALUE / 2;

    void report(long newest, long completeTo, long nowMillis) {
      boolean over = revision <= completeTo || nowMillis - lastReportMillis > peerWaitMillis;
      if (over) {
        sinceMillis = nowMillis;
      }
      revision = over ? newest : Math.max(revision, newest);
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
   * @param boundMillis the time in which a change must be known
   * @param startedMillis when this host's process began
   * @param operators follows the operators' records
   * @param runners follows the runners' entries
   * @param changed told when another host passed on something that is news
   */
  public RecordSync(
      long boundMillis,
      long startedMillis,
      FleetTopology shape,
      Members<HostState> members,
      StoreRegistry store,
      StoreFollower operators,
      StoreFollower runners,
      RecordExchange exchange,
      Runnable changed,
      EventLog log) {
    checkArgument(boundMillis > 0, "boundMillis must be above 0, was %s", boundMillis);
    this.boundMillis = boundMillis;
    this.startedMillis = startedMillis;
    this.peerWaitMillis = boundMillis / PEER_WAIT_DIVISOR;
    this.topology = requireNonNull(shape, "shape must not be null");
    this.members = requireNonNull(members, "members must not be null");
    this.store = requireNonNull(store, "store must not be null");
    this.operators = requireNonNull(operators, "operators must not be null");
    this.runners = requireNonNull(runners, "runners must not be null");
    this.exchange = requireNonNull(exchange, "exchange must not be null");
    this.changeListener = requireNonNull(changed, "changed must not be null");
    this.log = requireNonNull(log, "log must not be null");
  }

  /** Makes the calls to the store that are due. */
  public void tick(long nowMillis) {
    if (nowMillis - startedMillis > boundMillis) {
      // What others passed on may be old, but nothing better can be had.
      store.activatePending(nowMillis);
    }
    if (watchesStore(nowMillis)) {
      operators.tick(nowMillis);
      runners.tick(nowMillis);
    }
  }

  /** Takes from another host what it has read from the store and this host has not. */
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
   * Returns whether this host's own watch of the runners is about to tell the same: runners change
   * all the time, and their entries are many.
   */
  private boolean expectsRunnersFromWatch(long nowMillis) {
    return watchesStore(nowMillis)
        && runners.isReachable()
        && !runnersLag.exceeds(store.runnersCompleteTo(), peerWaitMillis, nowMillis);
  }

  /** Takes in what another host passed on. */
  public void recordsReceived(PulledRecords records, long nowMillis) {
    exchange.answered(records.ip());
    int news = 0;
    for (StoredItem item : records.items()) {
      news += store.applyFromPeer(item, nowMillis) ? 1 : 0;
    }
    store.completeTo(records.operatorsCompleteTo(), records.runnersCompleteTo());
    if (records.confirmedMillisAgo() <= boundMillis) {
      store.confirmed(nowMillis - records.confirmedMillisAgo(), nowMillis);
    }
    if (news > 0) {
      log.info("records-from-peer", "peer", records.ip(), "news", news);
      changeListener.run();
    }
  }

  /** Records that a datagram of another host came. */
  public void datagramReceived(String from, long nowMillis) {
    if (topology.isDelegateOfOwnGroup(from)) {
      delegateLastSeenMillis = nowMillis;
      if (store.isInitialized() && !isBehindPeers(nowMillis)) {
        store.confirmed(nowMillis, nowMillis);
      }
    }
  }

  /**
   * Returns whether this host asks the store for changes: in a large fleet the delegates do, and
   * the others learn of changes from them. A host that hears none of its delegates, or hears of
   * changes that it does not get, cannot wait until it suspects them: it asks the store itself.
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
