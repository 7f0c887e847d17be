package org.sequoiahub.node.peer;

import static java.util.Objects.requireNonNull;

import java.util.List;
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

  private final FleetShape shape;
  private final Members<HostState> members;
  private final StoreRegistry store;
  private final StoreFollower operators;
  private final StoreFollower runners;
  private final RecordExchange exchange;
  private final Runnable changed;
  private final EventLog log;

  /**
   * Creates the sync of a host.
   *
   * @param operators follows the operators' records
   * @param runners follows the runners' entries
   * @param changed told when another host passed on something that is news
   */
  public RecordSync(
      FleetShape shape,
      Members<HostState> members,
      StoreRegistry store,
      StoreFollower operators,
      StoreFollower runners,
      RecordExchange exchange,
      Runnable changed,
      EventLog log) {
    this.shape = requireNonNull(shape, "shape must not be null");
    this.members = requireNonNull(members, "members must not be null");
    this.store = requireNonNull(store, "store must not be null");
    this.operators = requireNonNull(operators, "operators must not be null");
    this.runners = requireNonNull(runners, "runners must not be null");
    this.exchange = requireNonNull(exchange, "exchange must not be null");
    this.changed = requireNonNull(changed, "changed must not be null");
    this.log = requireNonNull(log, "log must not be null");
  }

  /** Makes the calls to the store that are due. */
  public void tick(long nowMillis) {
    if (watchesStore()) {
      operators.tick(nowMillis);
      runners.tick(nowMillis);
    }
  }

  /** Takes from another host what it has read from the store and this host has not. */
  public void told(String from, HostState state, long nowMillis) {
    long operatorRevision = store.newestOperatorRevision();
    long runnersRevision = store.newestRunnersRevision();
    boolean behind = state.getConfigRevision() > operatorRevision;
    boolean readsRunners = watchesStore() && runners.isReachable();
    boolean runnersBehind = !readsRunners && state.getRunnersRevision() > runnersRevision;
    if (behind || runnersBehind) {
      members
          .find(from)
          .ifPresent(
              member -> exchange.pull(member.ip(), operatorRevision, runnersRevision, nowMillis));
    }
  }

  /** Takes in records that another host passed on. */
  public void received(List<StoredItem> items, long nowMillis) {
    int news = 0;
    for (StoredItem item : items) {
      news += store.passedOn(item, nowMillis) ? 1 : 0;
    }
    if (news > 0) {
      log.info("records-from-peer", "news", news);
      changed.run();
    }
  }

  /**
   * Returns whether this host asks the store for changes: in a large fleet the delegates do, and
   * the others learn of changes from them. A host that hears of no delegate becomes one itself.
   */
  private boolean watchesStore() {
    return !store.isFilled() || !shape.isLarge() || shape.isDelegate();
  }
}
