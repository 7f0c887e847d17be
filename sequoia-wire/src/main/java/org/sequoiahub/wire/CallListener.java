package org.sequoiahub.wire;

import org.sequoiahub.schema.wire.Envelope;

/** Receives what comes of one call; called on a network thread. */
public interface CallListener {

  /** Receives one message of the call. */
  void onMessage(Envelope message);

  /**
   * Told once that no further message can come because the connection is gone.
   *
   * @param handedOn false if the call was surely never written to the connection, and so has surely
   *     not run
   */
  void onConnectionLost(boolean handedOn);
}
