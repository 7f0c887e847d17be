package org.sequoiahub.core.holding;

import java.util.function.Consumer;
import org.sequoiahub.core.upstream.RunnerEntry;

/** Sends orders to runners and fetches their reports. Listeners may be called on any thread. */
public interface RunnerOrders {

  /**
   * Sends an order to a runner.
   *
   * @param expectedSequence the number of orders that the sender knows the runner to have accepted
   * @param holder the host that sends the order
   * @param token the holder's token, which grows with every change of the runner's holder
   * @param timeoutMillis how long to wait for a reply before the outcome counts as unknown (ms)
   */
  void sendOrder(
      RunnerEntry runner,
      Order order,
      long expectedSequence,
      String holder,
      long token,
      long timeoutMillis,
      Consumer<OrderReply> listener);

  /** Fetches a runner's report. */
  void fetchReport(RunnerEntry runner, long timeoutMillis, Consumer<ReportReply> listener);
}
