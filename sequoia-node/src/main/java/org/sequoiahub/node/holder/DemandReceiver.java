package org.sequoiahub.node.holder;

import static java.util.Objects.requireNonNull;

import java.util.HashSet;
import java.util.Set;
import org.sequoiahub.node.peer.FleetTopology;
import org.sequoiahub.node.peer.StateCodec;
import org.sequoiahub.schema.peer.AdapterDemand;
import org.sequoiahub.schema.peer.DemandReport;

/** Passes the demands of other hosts on to the holder of the runners. Decision thread only. */
public final class DemandReceiver {

  private final HolderService holderService;
  private final FleetTopology topology;

  /** Creates a receiver. */
  public DemandReceiver(HolderService holderService, FleetTopology topology) {
    this.holderService = requireNonNull(holderService, "holderService must not be null");
    this.topology = requireNonNull(topology, "topology must not be null");
  }

  /**
   * Applies another host's demands.
   *
   * @param from the name of the host
   * @param ip its IP address
   */
  public void received(String from, String ip, DemandReport report, long nowMillis) {
    Set<String> runners = new HashSet<>();
    for (AdapterDemand demand : report.getDemandsList()) {
      runners.add(demand.getRunner());
      if (demand.getRefused()) {
        holderService.recordMissingAdapter(demand.getRunner(), demand.getAdapter(), nowMillis);
      } else {
        holderService.updateRemoteDemand(
            from, demand.getRunner(), StateCodec.decodeDemand(demand), nowMillis);
      }
    }
    if (topology.isLarge()) {
      holderService.sendHoldings(ip, runners, nowMillis);
    }
  }
}
