package org.sequoiahub.node.store;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.sequoiahub.core.store.StorePosition;

/**
 * The configuration that a host uses, as reported to operators.
 *
 * @param version the version that the operator assigned; -1 if no configuration is in force
 * @param position the store position of its record
 * @param fromPeer whether it was received from another host
 * @param inForceSinceMillis when it came into force
 * @param confirmedMillis when the store, or a host on which others rely, last had no newer record
 */
public record ConfigurationStatus(
    long version,
    StorePosition position,
    boolean fromPeer,
    long inForceSinceMillis,
    long confirmedMillis) {

  static final ConfigurationStatus NONE =
      new ConfigurationStatus(
          -1, StorePosition.NONE, false, Long.MIN_VALUE / 2, Long.MIN_VALUE / 2);

  ConfigurationStatus confirmedAt(long millis) {
    return new ConfigurationStatus(
        version, position, fromPeer, inForceSinceMillis, Math.max(confirmedMillis, millis));
  }

  /**
   * Registers gauges of the current status, which are read on a server thread.
   *
   * @param clock returns the monotonic time (ms)
   */
  public static void registerGauges(
      MetricRegistry metrics, Supplier<ConfigurationStatus> current, LongSupplier clock) {
    metrics.register("configuration.version", (Gauge<Long>) () -> current.get().version);
    metrics.register("configuration.era", (Gauge<Long>) () -> current.get().position.era());
    metrics.register(
        "configuration.from_peer", (Gauge<Integer>) () -> current.get().fromPeer ? 1 : 0);
    metrics.register(
        "configuration.in_force_ms",
        (Gauge<Long>) () -> elapsedMillis(current.get().inForceSinceMillis, clock));
    metrics.register(
        "configuration.confirmed_ms_ago",
        (Gauge<Long>) () -> elapsedMillis(current.get().confirmedMillis, clock));
  }

  /** Returns the time since a moment (ms); -1 if the moment is negative, which stands for never. */
  private static long elapsedMillis(long millis, LongSupplier clock) {
    return millis < 0 ? -1 : clock.getAsLong() - millis;
  }
}
