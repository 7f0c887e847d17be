package org.sequoiahub.node.peer;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.sequoiahub.core.holding.Demand;
import org.sequoiahub.core.holding.Holdings;
import org.sequoiahub.core.member.Members;
import org.sequoiahub.schema.peer.AdapterDemand;
import org.sequoiahub.schema.peer.DemandReport;
import org.sequoiahub.schema.peer.HostState;
import org.sequoiahub.schema.peer.PeerDatagram;

/**
 * Reports to the holders of runners which adapters this host's requests are waiting for there. Runs
 * on the decision thread.
 */
public final class DemandSender {

  /**
   * Interval at which unchanged demands are repeated (ms), since a datagram may be lost. A new
   * demand is sent at once, so this limits the cost of a loss to half the time of a load.
   */
  private static final long REPEAT_MILLIS = 120;

  private final String self;
  private final Members<HostState> members;
  private final Holdings holdings;
  private final Supplier<PeerDatagram.Builder> datagrams;
  private final BiConsumer<String, byte[]> sender;
  private Map<String, Set<String>> lastTargets = Map.of();
  private long lastSentMillis = Long.MIN_VALUE / 2;

  /**
   * Creates a sender.
   *
   * @param self this host's name
   * @param datagrams creates datagrams of this host, without a body
   * @param sender sends bytes to an IP address
   */
  public DemandSender(
      String self,
      Members<HostState> members,
      Holdings holdings,
      Supplier<PeerDatagram.Builder> datagrams,
      BiConsumer<String, byte[]> sender) {
    this.self = self;
    this.members = members;
    this.holdings = holdings;
    this.datagrams = datagrams;
    this.sender = sender;
  }

  /** Sends the demands of waiting requests, by runner, if any is new or a repetition is due. */
  public void report(Map<String, List<Demand>> demands, long nowMillis) {
    Map<String, Set<String>> targets = new HashMap<>();
    demands.forEach(
        (runner, list) ->
            targets.put(runner, list.stream().map(Demand::target).collect(Collectors.toSet())));
    // A new demand is sent at once: a load takes 250 ms, and the period is half of that.
    boolean anyNew =
        targets.entrySet().stream()
            .anyMatch(
                entry ->
                    !lastTargets
                        .getOrDefault(entry.getKey(), Set.of())
                        .containsAll(entry.getValue()));
    if (!anyNew && nowMillis - lastSentMillis < REPEAT_MILLIS) {
      return;
    }
    lastTargets = targets;
    lastSentMillis = nowMillis;
    Map<String, DemandReport.Builder> byHost = new HashMap<>();
    demands.forEach((runner, list) -> add(runner, list, byHost));
    byHost.forEach(this::send);
  }

  private void add(String runner, List<Demand> demands, Map<String, DemandReport.Builder> byHost) {
    holdings
        .find(runner)
        .ifPresent(
            holding -> {
              DemandReport.Builder report =
                  byHost.computeIfAbsent(holding.host(), host -> DemandReport.newBuilder());
              demands.forEach(demand -> report.addDemands(StateCodec.encodeDemand(runner, demand)));
            });
  }

  /** Reports that a runner refused a request for an adapter that it is expected to hold. */
  public void reportRefusal(String runner, String target) {
    AdapterDemand demand =
        AdapterDemand.newBuilder().setRunner(runner).setAdapter(target).setRefused(true).build();
    holdings
        .find(runner)
        .ifPresent(holding -> send(holding.host(), DemandReport.newBuilder().addDemands(demand)));
  }

  private void send(String host, DemandReport.Builder report) {
    if (!host.equals(self)) {
      members
          .find(host)
          .ifPresent(
              member ->
                  sender.accept(
                      member.ip(), datagrams.get().setDemand(report).build().toByteArray()));
    }
  }
}
