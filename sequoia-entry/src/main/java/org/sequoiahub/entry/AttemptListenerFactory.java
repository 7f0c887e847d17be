package org.sequoiahub.entry;

import java.util.function.Consumer;
import org.sequoiahub.schema.wire.Envelope;
import org.sequoiahub.wire.CallListener;

/** Creates listeners that forward the messages of an attempt to the duty as events. */
final class AttemptListenerFactory {

  private final Consumer<EntryEvent> events;

  AttemptListenerFactory(Consumer<EntryEvent> events) {
    this.events = events;
  }

  CallListener createListener(long requestNumber, int attempt) {
    return new CallListener() {
      @Override
      public void onMessage(Envelope message) {
        events.accept(new EntryEvent.MessageReceived(requestNumber, attempt, message));
      }

      @Override
      public void onConnectionLost(boolean handedOn) {
        events.accept(new EntryEvent.ConnectionLost(requestNumber, attempt, handedOn));
      }
    };
  }
}
