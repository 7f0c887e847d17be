package org.sequoiahub.core.response;

import static java.util.Objects.requireNonNull;

/**
 * Decides whether a response is complete.
 *
 * <p>A body that ends with its connection is complete only if its sender closed the connection and
 * was still running afterwards: the connections of a process that terminates are closed in the same
 * way. A stream that ends inside an event is truncated whatever its framing.
 */
public final class ResponseCompleteness {

  private ResponseCompleteness() {}

  /**
   * Decides on a response whose end the HTTP client has reported without a failure.
   *
   * @param end how the connection ended, if the body ends with it
   */
  public static Completeness of(Framing framing, ConnectionEnd end) {
    requireNonNull(framing, "framing must not be null");
    requireNonNull(end, "end must not be null");
    return framing != Framing.CONNECTION_END || end == ConnectionEnd.CLOSED
        ? Completeness.COMPLETE
        : new Completeness.Truncated(
            "the body ends with its connection, which ended otherwise than by its sender: " + end);
  }

  /**
   * Returns whether a response that looks complete by {@link #of} may still be truncated, so that
   * {@link #ofSender} has to decide.
   */
  public static boolean dependsOnSender(Framing framing) {
    requireNonNull(framing, "framing must not be null");
    return framing == Framing.CONNECTION_END;
  }

  /**
   * Decides on a response whose body ended with its connection.
   *
   * @param sender the state of the sender, from a question that was asked after the end
   */
  public static Completeness ofSender(SenderState sender) {
    requireNonNull(sender, "sender must not be null");
    return switch (sender) {
      case RUNNING -> Completeness.COMPLETE;
      case TERMINATED ->
          new Completeness.Truncated(
              "the body ends with its connection, and its sender has terminated");
      case UNKNOWN ->
          new Completeness.Truncated(
              "the body ends with its connection, and its sender did not show that it still runs");
    };
  }

  /**
   * Decides on a stream whose response is complete by {@link #of}.
   *
   * @param position where the received part of the stream ends
   */
  public static Completeness ofStream(Framing framing, StreamPosition position) {
    requireNonNull(framing, "framing must not be null");
    return switch (position) {
      case BETWEEN_EVENTS -> Completeness.COMPLETE;
      case INSIDE_EVENT -> new Completeness.Truncated("the stream ended inside an event");
      case BEFORE_FIRST_EVENT ->
          framing == Framing.CONNECTION_END
              ? new Completeness.Truncated("the connection ended before the first event")
              : Completeness.COMPLETE;
    };
  }
}
