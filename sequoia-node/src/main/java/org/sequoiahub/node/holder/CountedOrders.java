package org.sequoiahub.node.holder;

import static java.util.Objects.requireNonNull;

import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.sequoiahub.core.concurrency.RunPermits;
import org.sequoiahub.core.holding.Order;
import org.sequoiahub.core.holding.OrderReply;
import org.sequoiahub.core.holding.ReportReply;
import org.sequoiahub.core.holding.RunnerOrders;
import org.sequoiahub.core.runnerstate.CallKind;
import org.sequoiahub.core.upstream.RunnerEntry;
import org.sequoiahub.node.runnerstate.RunnerStates;

/** Counts the calls of a runner's holder, from when they are sent until they have ended. */
final class CountedOrders implements RunnerOrders {

  private final RunnerOrders orders;
  private final RunnerStates runnerStates;
  private final Consumer<Runnable> decisionThread;
  private final LongSupplier clock;

  CountedOrders(
      RunnerOrders orders,
      RunnerStates runnerStates,
      Consumer<Runnable> decisionThread,
      LongSupplier clock) {
    this.orders = requireNonNull(orders, "orders must not be null");
    this.runnerStates = requireNonNull(runnerStates, "runnerStates must not be null");
    this.decisionThread = requireNonNull(decisionThread, "decisionThread must not be null");
    this.clock = requireNonNull(clock, "clock must not be null");
  }

  @Override
  public void sendOrder(
      RunnerEntry runner,
      Order order,
      long expectedSequence,
      String holder,
      long token,
      long timeoutMillis,
      Consumer<OrderReply> listener) {
    runnerStates.recordSent(runner.id(), CallKind.ORDER, clock.getAsLong());
    orders.sendOrder(
        runner,
        order,
        expectedSequence,
        holder,
        token,
        timeoutMillis,
        reply -> {
          recordEnded(runner);
          listener.accept(reply);
        });
  }

  @Override
  public void fetchReport(RunnerEntry runner, long timeoutMillis, Consumer<ReportReply> listener) {
    runnerStates.recordSent(runner.id(), CallKind.REPORT, clock.getAsLong());
    orders.fetchReport(
        runner,
        timeoutMillis,
        reply -> {
          recordEnded(runner);
          listener.accept(reply);
        });
  }

  private void recordEnded(RunnerEntry runner) {
    decisionThread.accept(
        () -> runnerStates.recordEnded(runner.id(), RunPermits.End.ANSWERED, clock.getAsLong()));
  }
}
