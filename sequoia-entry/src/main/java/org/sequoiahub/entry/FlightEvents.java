package org.sequoiahub.entry;

import java.util.function.Consumer;
import org.sequoiahub.schema.wire.Envelope;
import org.sequoiahub.wire.CallListener;

/** Turns what comes of dispatchers' connections into events of the duty. */
final class FlightEvents {

  private final Consumer<EntryEvent> events;

  FlightEvents(Consumer<EntryEvent> events) {
    this.events = events;
  }

  CallListener listener(long flight, int attempt) {
    return new CallListener() {
      @Override
      public void onMessage(Envelope message) {
        events.accept(new EntryEvent.FlightMessage(flight, attempt, message));
      }

      @Override
      public void onConnectionLost(boolean handedOn) {
        events.accept(new EntryEvent.FlightLost(flight, attempt, handedOn));
      }
    };
  }
}
