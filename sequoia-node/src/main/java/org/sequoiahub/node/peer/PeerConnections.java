package org.sequoiahub.node.peer;

import static java.util.Objects.requireNonNull;

import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.sequoiahub.node.forward.ForwardedRequests;
import org.sequoiahub.node.store.StoreRegistry;
import org.sequoiahub.schema.wire.Envelope;
import org.sequoiahub.wire.WireConnection;
import org.sequoiahub.wire.WireServer;

/**
 * Serves the connections of other hosts: the requests that they pass on, and their pulls of
 * records. Invoked on the network thread.
 */
public final class PeerConnections implements WireServer.Handler {

  private final ForwardedRequests forwardedRequests;
  private final StoreRegistry storeRegistry;
  private final Consumer<Runnable> decisionThread;
  private final LongSupplier clock;

  /** Used on the decision thread. */
  private final DeflatedValues deflatedValues = new DeflatedValues();

  /**
   * Creates a handler.
   *
   * @param decisionThread executes tasks on the decision thread
   * @param clock the monotonic time (ms)
   */
  public PeerConnections(
      ForwardedRequests forwardedRequests,
      StoreRegistry storeRegistry,
      Consumer<Runnable> decisionThread,
      LongSupplier clock) {
    this.forwardedRequests =
        requireNonNull(forwardedRequests, "forwardedRequests must not be null");
    this.storeRegistry = requireNonNull(storeRegistry, "storeRegistry must not be null");
    this.decisionThread = requireNonNull(decisionThread, "decisionThread must not be null");
    this.clock = requireNonNull(clock, "clock must not be null");
  }

  @Override
  public void onMessage(WireConnection connection, Envelope message) {
    forwardedRequests.onMessage(connection, message);
    if (message.hasStorePull()) {
      decisionThread.accept(() -> answerPull(connection, message));
    }
  }

  private void answerPull(WireConnection connection, Envelope message) {
    connection.send(
        message.getCall(),
        Envelope.newBuilder()
            .setStoreRecords(
                RecordExchange.answerPull(
                    message.getStorePull(), storeRegistry, deflatedValues, clock.getAsLong())));
  }

  @Override
  public void onClosed(WireConnection connection) {
    forwardedRequests.onClosed(connection);
  }
}
