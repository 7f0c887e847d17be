package org.sequoiahub.core.routing;

/**
 * Limits on what a caller may send and how long it may take.
 *
 * @param maxHeaderBytes the maximum size of the request line and headers together
 * @param maxBodyBytes the maximum size of the body
 * @param headerTimeoutMillis the longest time from the first to the last byte of the headers
 * @param idleTimeoutMillis how long a connection may stay unused
 */
public record CallerLimits(
    int maxHeaderBytes, long maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {

  /**
   * The limits that apply until a configuration is known, as generous as those of the product's own
   * front end.
   */
  public static final CallerLimits UNKNOWN = new CallerLimits(16 << 10, 4L << 20, 5_000, 60_000);
}
