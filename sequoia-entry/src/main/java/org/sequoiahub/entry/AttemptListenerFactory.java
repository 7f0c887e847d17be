package org.sequoiahub.entry;

import java.util.function.Consumer;
import org.sequoiahub.schema.wire.Envelope;
import org.sequoiahub.wire.CallListener;

/** Turns what comes of dispatchers' connections into events of the duty. */
final class AttemptListenerFactory {

  private final Consumer<EntryEvent> events;

  AttemptListenerFactory(Consumer<EntryEvent> events) {
    this.events = events;
  }

  CallListener createListener(long flight, int attempt) {
    return new CallListener() {
      @Override
      public void message(Envelope message) {
        events.accept(new EntryEvent.MessageReceived(flight, attempt, message));
      }

      @Override
      public void lost(boolean handedOn) {
        events.accept(new EntryEvent.ConnectionLost(flight, attempt, handedOn));
      }
    };
  }
}
