package org.sequoiahub.core.authority;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.ArrayList;
import java.util.List;

/**
 * Which hosts a holder asks to renew its leases.
 *
 * <p>A lease needs a majority, and in a large fleet each host hears every holder: at 95 hosts with
 * 12 holders that renew three times a second, 36 claims and as many grants a second, three times as
 * many datagrams as all else that an idle host handles. So a renewal asks somewhat more than a
 * majority, others each time. Whoever asked too few (lost datagrams, hosts that died) notices when
 * the round after it is due, and asks all then, with most of the lease left.
 */
public final class RenewalRound {

  /**
   * Part of the electorate that is asked. A majority of all is 0.5; with 0.65 a round succeeds
   * while 23% of those asked do not answer, which is the loss of a failure domain out of five.
   */
  private static final double SELECTED_FRACTION = 0.65;

  private RenewalRound() {}

  /**
   * Returns the hosts to ask.
   *
   * @param reachable hosts that may answer, in an order that seldom changes
   * @param electorate how many hosts a majority is counted of, the holder itself included
   * @param round the number of the round; each begins where the one before ended
   */
  public static <T> List<T> selectHosts(List<T> reachable, int electorate, long round) {
    checkArgument(electorate > 0, "electorate must be above 0, was %s", electorate);
    int count = (int) Math.ceil(electorate * SELECTED_FRACTION);
    if (count >= reachable.size()) {
      return reachable;
    }
    List<T> asked = new ArrayList<>(count);
    int first = (int) Math.floorMod(round * count, (long) reachable.size());
    for (int i = 0; i < count; i++) {
      asked.add(reachable.get((first + i) % reachable.size()));
    }
    return asked;
  }
}
