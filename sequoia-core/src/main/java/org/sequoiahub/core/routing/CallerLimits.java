package org.sequoiahub.core.routing;

/**
 * What a caller may send and how long it may take.
 *
 * @param maxHeaderBytes largest request line and headers together
 * @param maxBodyBytes largest body
 * @param headerTimeoutMillis longest time from the first to the last byte of the headers
 * @param idleTimeoutMillis how long a connection may stay unused
 */
public record CallerLimits(
    int maxHeaderBytes, long maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {

  /** Limits until a configuration is known; as generous as the product's own door. */
  public static final CallerLimits UNKNOWN = new CallerLimits(16 << 10, 4L << 20, 5_000, 60_000);
}
