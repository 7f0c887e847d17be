package org.sequoiahub.node.store;

import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import java.util.function.LongSupplier;
import org.sequoiahub.runtime.log.EventLog;
import org.sequoiahub.usersplatform.StoreKeys;
import org.sequoiahub.usersplatform.StoreReader;

/**
 * The followers of a host, which share what they learn about the store's eras.
 *
 * @param operators follows the operators' records
 * @param runners follows the runners' entries
 */
public record StoreFollowers(StoreFollower operators, StoreFollower runners) {

  /**
   * Interval between the starts of watches on the runners' entries (ms). Runners write their
   * entries all the time and each call has a cost, but a draining runner must be known within the 2
   * s for which it continues to serve.
   */
  private static final long RUNNER_WATCH_SPACING_MILLIS = 600;

  /**
   * Creates followers that make their calls through a client.
   *
   * @param configurationMillis the time within which a configuration must be known (ms)
   * @param drainMillis the time within which a leaving runner must be known (ms)
   * @param draw returns uniformly distributed random numbers from 0 to 1
   */
  public static StoreFollowers create(
      StoreReader client,
      long configurationMillis,
      long drainMillis,
      StoreListener listener,
      Consumer<Runnable> decisionExecutor,
      LongSupplier clock,
      DoubleSupplier draw,
      EventLog log) {
    StoreEras eras = new StoreEras(log);
    return new StoreFollowers(
        new StoreFollower(
            client,
            StoreKeys.OPERATOR_PREFIX,
            WatchTiming.within(configurationMillis, 0),
            eras,
            listener,
            decisionExecutor,
            clock,
            draw),
        new StoreFollower(
            client,
            StoreKeys.RUNNER_PREFIX,
            WatchTiming.within(drainMillis, RUNNER_WATCH_SPACING_MILLIS),
            eras,
            listener,
            decisionExecutor,
            clock,
            draw));
  }
}
