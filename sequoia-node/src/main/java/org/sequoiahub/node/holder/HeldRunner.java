package org.sequoiahub.node.holder;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.sequoiahub.core.authority.LeasedAuthority;
import org.sequoiahub.core.holding.RunnerResidency;
import org.sequoiahub.core.routing.EngineSpec;
import org.sequoiahub.core.upstream.RunnerEntry;

/** One runner whose lease this host holds, or only claims so far. Decision thread only. */
final class HeldRunner {

  /**
   * Interval after which unchanged holdings are sent again to a waiting host (ms): a datagram may
   * be lost, and a load takes at least 250 ms.
   */
  private static final long HOLDINGS_RESEND_MILLIS = 400;

  RunnerEntry runner;
  final EngineSpec engine;
  final LeasedAuthority authority;
  @Nullable RunnerResidency residency;
  long gainedMillis;

  /** Number of the authority's term that this host knows it has held without another holder. */
  long term;

  long ordersFromMillis;
  long token;
  boolean reportPending;
  long reportDueMillis;
  long advertiseDueMillis;

  /** Number of changes of the runner's adapters and models. */
  long changeCount;

  /** When the lease was last known to be held (ms). */
  long lastHeldMillis = Long.MIN_VALUE / 2;

  /**
   * Hosts that have seen every lease of the runner and granted them to this host only, as stated
   * with their grants of the latest round.
   */
  final Set<String> exclusiveGranters = new HashSet<>();

  /** When this host first saw the runner (ms). */
  final long firstSeenMillis;

  /** The holdings last sent to each host that waits for the runner, by IP address. */
  private final Map<String, SentHoldings> sentHoldings = new HashMap<>();

  /**
   * The last sending of a runner's holdings to a waiting host.
   *
   * @param changeCount the runner's change count at that time
   */
  private record SentHoldings(long changeCount, long sentMillis) {}

  /**
   * Creates a runner whose lease is not held.
   *
   * @param durationMillis duration of its lease (ms)
   */
  HeldRunner(RunnerEntry runner, EngineSpec engine, long durationMillis, long firstSeenMillis) {
    this.runner = runner;
    this.engine = engine;
    this.authority = new LeasedAuthority(durationMillis);
    this.firstSeenMillis = firstSeenMillis;
  }

  /**
   * Returns whether no other host can have sent orders to the runner since this host last held its
   * lease. A short interruption alone does not show this: the host that held the lease meanwhile
   * may have regained it, too, and so not have waited like a new holder.
   *
   * @param currentTerm number of the authority's current term
   * @param orderLeaseMillis the platform's lease time, which a new holder waits for (ms)
   */
  boolean isContinued(long currentTerm, long orderLeaseMillis, long nowMillis) {
    return currentTerm == term
        || (currentTerm == term + 1
            && authority.continuesFormerTerm()
            && nowMillis - lastHeldMillis < orderLeaseMillis);
  }

  /** Returns whether the holdings are due to be sent to a host, and if so marks them sent. */
  boolean markSentIfDue(String ip, long nowMillis) {
    SentHoldings last = sentHoldings.get(ip);
    boolean due =
        last == null
            || last.changeCount != changeCount
            || nowMillis - last.sentMillis >= HOLDINGS_RESEND_MILLIS;
    if (due) {
      sentHoldings.put(ip, new SentHoldings(changeCount, nowMillis));
    }
    return due;
  }
}
