package org.sequoiahub.wire;

import org.sequoiahub.schema.wire.Envelope;

/** Receives the messages and the loss of a call; invoked on a network thread. */
public interface CallListener {

  /** Receives one message of the call. */
  void onMessage(Envelope message);

  /**
   * Called once if the connection is lost and no further message can arrive.
   *
   * @param possiblySent false if the call was certainly not written to the connection and so has
   *     certainly not run
   */
  void onConnectionLost(boolean possiblySent);
}
