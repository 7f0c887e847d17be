package org.sequoiahub.core.holding;

import java.util.function.Consumer;
import org.sequoiahub.core.upstream.RunnerEntry;

/** Gives orders to runners and reads their reports; replies may come on any thread. */
public interface RunnerOrders {

  /**
   * Gives an order.
   *
   * @param expectedSequence how many orders the runner has accepted, as far as the sender knows
   * @param holder the host that orders
   * @param token grows with every change of the host that orders this runner
   * @param timeoutMillis without a reply for this long the outcome is unknown
   */
  void sendOrder(
      RunnerEntry runner,
      Order order,
      long expectedSequence,
      String holder,
      long token,
      long timeoutMillis,
      Consumer<OrderReply> listener);

  /** Reads a runner's report. */
  void fetchReport(RunnerEntry runner, long timeoutMillis, Consumer<ReportReply> listener);
}
