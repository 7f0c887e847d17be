package org.sequoiahub.node.origin;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.List;
import java.util.function.LongFunction;
import org.sequoiahub.core.member.Members;
import org.sequoiahub.core.member.Members.Member;
import org.sequoiahub.core.origin.StreamKey;
import org.sequoiahub.core.placement.Rendezvous;
import org.sequoiahub.schema.peer.HostState;

/**
 * Selects the hosts that keep where a stream began, by rendezvous hashing and in different failure
 * domains.
 *
 * <p>Views of the fleet differ for a moment after a host has started or died. More hosts are
 * therefore asked than keep a stream.
 */
public final class OriginKeepers {

  /** Number of hosts that keep a stream, besides the one that began it. */
  static final int KEEPERS = 3;

  /** Number of hosts that are asked for a stream; in a small fleet these are all hosts. */
  static final int ASKED = 8;

  private final LongFunction<List<Host>> others;

  /**
   * A host.
   *
   * @param name the host's name
   * @param ip the address that its datagrams are sent to
   * @param failureDomain its failure domain; empty if it is not known
   */
  public record Host(String name, String ip, String failureDomain) {}

  /**
   * Creates a selector.
   *
   * @param others returns the other hosts that are alive at a time
   */
  public OriginKeepers(LongFunction<List<Host>> others) {
    this.others = requireNonNull(others, "others must not be null");
  }

  /** Creates a selector among the members of the fleet that are alive. */
  public static OriginKeepers among(Members<HostState> members) {
    return new OriginKeepers(
        nowMillis -> members.alive(nowMillis).stream().map(OriginKeepers::host).toList());
  }

  private static Host host(Member<HostState> member) {
    HostState state = member.state();
    return new Host(member.host(), member.ip(), state == null ? "" : state.getFailureDomain());
  }

  /** Returns the addresses of the hosts that keep a stream. */
  List<String> keepers(StreamKey key, long nowMillis) {
    return select(key, KEEPERS, nowMillis);
  }

  /** Returns the addresses of the hosts that are asked for a stream. */
  List<String> asked(StreamKey key, long nowMillis) {
    return select(key, ASKED, nowMillis);
  }

  private List<String> select(StreamKey key, int count, long nowMillis) {
    List<Host> hosts = new ArrayList<>(others.apply(nowMillis));
    return Rendezvous.spread(key.text(), hosts, count, Host::name, Host::failureDomain, host -> 1)
        .stream()
        .map(Host::ip)
        .toList();
  }
}
