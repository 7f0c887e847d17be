package org.sequoiahub.core.placement;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import org.sequoiahub.core.fleet.Fleet;
import org.sequoiahub.core.fleet.Fleet.Host;
import org.sequoiahub.core.fleet.Fleet.Runner;
import org.sequoiahub.core.record.AdapterVersion;

/**
 * Assigns adapters to runners and runners to hosts; all processes with the same host list agree.
 */
public final class Placement {

  private Placement() {}

  /**
   * Returns the candidate runners of an adapter version, the preferred one first.
   *
   * @param pool the runners of the adapter's base model that accept new work
   * @param count the maximum number of candidates
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
   * Returns the hosts to contact for {@code runnerId}, its owner first. A later host is contacted
   * only if the earlier ones are unreachable or reject the request; that later host may then claim
   * the runner.
   *
   * @param count the maximum number of hosts
   */
  public static List<Host> ownersInOrder(String runnerId, Collection<Host> liveHosts, int count) {
    return Rendezvous.spread(runnerId, liveHosts, count, Host::id, Host::id, host -> 1);
  }

  /** Returns the host whose dispatcher grants the load turns; empty if no host is live. */
  public static Optional<Host> loadTurnKeeper(Fleet fleet) {
    return Rendezvous.first("load-turns", fleet.liveHosts(), Host::id);
  }
}
