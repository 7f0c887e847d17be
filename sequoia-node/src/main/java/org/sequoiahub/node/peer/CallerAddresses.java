package org.sequoiahub.node.peer;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.List;
import org.sequoiahub.core.member.CallerHostSelector;
import org.sequoiahub.core.member.CallerHostSelector.Candidate;
import org.sequoiahub.core.member.Members;
import org.sequoiahub.core.member.Members.Member;
import org.sequoiahub.core.member.PeakArrivalRate;
import org.sequoiahub.schema.peer.HostState;
import org.sequoiahub.usersplatform.HostSettings;

/** Selects the host addresses that this host advertises to callers. Decision thread only. */
public final class CallerAddresses {

  /** Maximum number of addresses in an answer: callers accept no more. */
  private static final int MAX_ADDRESSES = 64;

  /** Window whose busiest second determines to how many hosts callers are sent (s). */
  private static final int DEMAND_WINDOW_SECONDS = 10;

  private final HostSettings settings;
  private final Members<HostState> members;
  private final FleetTopology topology;
  private final PeakArrivalRate arrivals = new PeakArrivalRate(DEMAND_WINDOW_SECONDS);

  /** Creates the addresses of a host that has received no request yet. */
  public CallerAddresses(
      HostSettings settings, Members<HostState> members, FleetTopology topology) {
    this.settings = requireNonNull(settings, "settings must not be null");
    this.members = requireNonNull(members, "members must not be null");
    this.topology = requireNonNull(topology, "topology must not be null");
  }

  /** Counts a request received from a caller. */
  public void recordRequest(long nowMillis) {
    arrivals.recordArrival(nowMillis);
  }

  /** Returns the number of requests received in the busiest of the last seconds. */
  public int requestsPerSecond(long nowMillis) {
    return arrivals.perSecond(nowMillis);
  }

  /** Returns the {@code ip:port} at which callers reach this host. */
  public String ownAddress() {
    return settings.ip() + ":" + settings.callerPort();
  }

  /**
   * Returns the addresses to advertise: those of all hosts that accept requests, or, in a large
   * fleet, of the strongest only.
   *
   * <p>Hosts that have lost their path to the runners are left out if there are others: they pass
   * requests on, which costs time and traffic.
   *
   * @param serves whether this host accepts requests
   * @param runnersUnreachable whether this host has lost its path to the runners
   */
  public List<String> advertised(boolean serves, boolean runnersUnreachable, long nowMillis) {
    List<Candidate> present = new ArrayList<>();
    List<Candidate> reaching = new ArrayList<>();
    int demand = requestsPerSecond(nowMillis);
    if (serves) {
      Candidate self =
          new Candidate(
              settings.host(), ownAddress(), settings.failureDomain(), settings.processorPercent());
      present.add(self);
      if (!runnersUnreachable) {
        reaching.add(self);
      }
    }
    for (Member<HostState> member : members.alive(nowMillis)) {
      HostState state = member.state();
      if (state != null) {
        demand += state.getRequestsPerSecond();
        if (state.getReady()) {
          present.add(candidate(member.host(), state));
          if (!state.getRunnersUnreachable()) {
            reaching.add(candidate(member.host(), state));
          }
        }
      }
    }
    List<Candidate> candidates = reaching.isEmpty() ? present : reaching;
    List<Candidate> advertised =
        topology.isLarge() ? CallerHostSelector.select(candidates, demand) : candidates;
    return advertised.stream().limit(MAX_ADDRESSES).map(Candidate::address).toList();
  }

  private static Candidate candidate(String host, HostState state) {
    return new Candidate(
        host, state.getCallerAddress(), state.getFailureDomain(), state.getProcessor());
  }
}
