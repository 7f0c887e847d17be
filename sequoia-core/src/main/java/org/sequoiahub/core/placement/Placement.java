package org.sequoiahub.core.placement;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import org.sequoiahub.core.fleet.Fleet;
import org.sequoiahub.core.fleet.Fleet.Host;
import org.sequoiahub.core.fleet.Fleet.Runner;
import org.sequoiahub.core.record.AdapterVersion;

/** Who serves what, computed alike by every process from the same host list. */
public final class Placement {

  private Placement() {}

  /**
   * Returns an adapter version's candidate runners, the preferred one first.
   *
   * @param pool the runners of the adapter's base model that may be given new work
   * @param count the most candidates wanted
   */
  public static List<Runner> candidates(AdapterVersion adapter, List<Runner> pool, int count) {
    return Rendezvous.spread(
        adapter.exactName(), pool, count, Runner::id, Runner::failureDomain, Runner::slots);
  }

  /** Returns the host whose dispatcher owns {@code runnerId}; empty if no host is live. */
  public static Optional<Host> owner(String runnerId, Collection<Host> liveHosts) {
    return Rendezvous.first(runnerId, liveHosts, Host::id);
  }

  /**
   * Returns the hosts to ask for {@code runnerId}, its owner first. A later one is asked only when
   * the earlier ones cannot be reached or refuse; it may then claim the runner.
   */
  public static List<Host> ownersInOrder(String runnerId, Collection<Host> liveHosts, int count) {
    return Rendezvous.spread(runnerId, liveHosts, count, Host::id, Host::id, host -> 1);
  }

  /** Returns the host whose dispatcher keeps the weight store's load turns. */
  public static Optional<Host> loadTurnKeeper(Fleet fleet) {
    return Rendezvous.first("load-turns", fleet.liveHosts(), Host::id);
  }
}
