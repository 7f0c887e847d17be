package org.sequoiahub.node.forward;

import static java.util.Objects.requireNonNull;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import org.sequoiahub.node.caller.CallerExchange;
import org.sequoiahub.schema.wire.Envelope;
import org.sequoiahub.wire.WireConnection;

/**
 * Receives the requests that other hosts pass on to this one, and their cancellations.
 *
 * <p>Thread-safe; invoked on the network thread.
 */
public final class ForwardedRequests {

  private final Consumer<CallerExchange> requestHandler;
  private final Map<WireConnection, Map<Long, ForwardedExchange>> exchanges =
      new ConcurrentHashMap<>();

  /**
   * Creates a receiver.
   *
   * @param requestHandler receives each request
   */
  public ForwardedRequests(Consumer<CallerExchange> requestHandler) {
    this.requestHandler = requireNonNull(requestHandler, "requestHandler must not be null");
  }

  /** Handles a message if it concerns a request that is passed on. */
  public void onMessage(WireConnection connection, Envelope message) {
    if (message.hasForwarded()) {
      Map<Long, ForwardedExchange> open =
          exchanges.computeIfAbsent(connection, key -> new ConcurrentHashMap<>());
      open.values().removeIf(ForwardedExchange::hasEnded);
      ForwardedExchange exchange =
          new ForwardedExchange(
              connection, message.getCall(), connection.remoteIp(), message.getForwarded());
      open.put(message.getCall(), exchange);
      requestHandler.accept(exchange);
    } else if (message.hasCancel()) {
      ForwardedExchange exchange =
          exchanges.getOrDefault(connection, Map.of()).remove(message.getCall());
      if (exchange != null) {
        exchange.cancel();
      }
    }
  }

  /** Cancels the requests of a connection: nobody waits for their responses any more. */
  public void onClosed(WireConnection connection) {
    Map<Long, ForwardedExchange> open = exchanges.remove(connection);
    if (open != null) {
      open.values().forEach(ForwardedExchange::cancel);
    }
  }
}
