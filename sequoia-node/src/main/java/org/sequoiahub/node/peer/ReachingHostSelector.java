package org.sequoiahub.node.peer;

import static java.util.Objects.requireNonNull;

import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.sequoiahub.core.member.Members;
import org.sequoiahub.core.member.Members.Member;
import org.sequoiahub.node.forward.HostSelector;
import org.sequoiahub.schema.peer.HostState;

/** Selects at random among the healthy hosts that accept requests and reach the runners. */
public final class ReachingHostSelector implements HostSelector {

  private final Members<HostState> members;
  private final Random random;

  /** Creates a selector among the members of the fleet. */
  public ReachingHostSelector(Members<HostState> members, Random random) {
    this.members = requireNonNull(members, "members must not be null");
    this.random = requireNonNull(random, "random must not be null");
  }

  @Override
  public Optional<Host> select(Set<String> excludedHosts, long nowMillis) {
    List<Member<HostState>> eligible =
        members.alive(nowMillis).stream()
            .filter(member -> serves(member, nowMillis) && !excludedHosts.contains(member.host()))
            .toList();
    if (eligible.isEmpty()) {
      return Optional.empty();
    }
    Member<HostState> selected = eligible.get(random.nextInt(eligible.size()));
    return Optional.of(new Host(selected.host(), selected.ip()));
  }

  private boolean serves(Member<HostState> member, long nowMillis) {
    HostState state = member.state();
    return state != null
        && state.getReady()
        && !state.getRunnersUnreachable()
        && members.isHealthy(member.host(), nowMillis);
  }
}
