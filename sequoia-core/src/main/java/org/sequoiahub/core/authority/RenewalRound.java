package org.sequoiahub.core.authority;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.ArrayList;
import java.util.List;

/**
 * Selects the hosts that a holder asks to renew its leases.
 *
 * <p>A lease needs a majority of the hosts. If every holder asked all hosts, the load on each host
 * would grow with the number of holders: at 95 hosts with 12 holders that renew three times a
 * second, each host would receive 36 claims and send as many grants a second, which is three times
 * as many datagrams as an idle host handles otherwise. A renewal therefore asks slightly more than
 * a majority, and different hosts in each round. If too few of them respond (lost datagrams, dead
 * hosts), the holder detects this when the next round is due and then asks all hosts, while most of
 * the lease remains.
 */
public final class RenewalRound {

  /**
   * Fraction of the electorate that is asked. A majority needs more than 0.5. With 0.65, a round
   * succeeds even if 23% of the hosts asked do not respond, which covers the loss of one failure
   * domain out of five.
   */
  private static final double SELECTED_FRACTION = 0.65;

  private RenewalRound() {}

  /**
   * Returns the hosts to ask in a round, or all reachable hosts if there are too few to choose
   * from.
   *
   * @param reachable hosts that are expected to respond, in an order that rarely changes
   * @param electorateSize the number of hosts of which a majority is needed, including the holder
   * @param round the number of the round; each round continues after the hosts of the previous one
   */
  public static <T> List<T> selectHosts(List<T> reachable, int electorateSize, long round) {
    checkArgument(electorateSize > 0, "electorateSize must be above 0, was %s", electorateSize);
    int count = (int) Math.ceil(electorateSize * SELECTED_FRACTION);
    if (count >= reachable.size()) {
      return reachable;
    }
    List<T> selected = new ArrayList<>(count);
    int first = (int) Math.floorMod(round * count, (long) reachable.size());
    for (int i = 0; i < count; i++) {
      selected.add(reachable.get((first + i) % reachable.size()));
    }
    return selected;
  }
}
