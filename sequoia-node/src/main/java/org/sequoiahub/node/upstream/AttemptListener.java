package org.sequoiahub.node.upstream;

import java.nio.ByteBuffer;
import org.eclipse.jetty.http.HttpFields;

/** Follows one attempt, on an HTTP client thread. */
public interface AttemptListener {

  /** Told of the head of a good stream, just before its first piece. */
  void streamStarted(int status, HttpFields headers);

  /** Receives a piece of a good stream; the buffer is the receiver's. */
  void streamContent(ByteBuffer piece);

  /** Told once how the attempt ended. */
  void ended(Outcome outcome);
}
