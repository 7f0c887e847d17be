package org.sequoiahub.node.forward;

import java.nio.ByteBuffer;
import org.eclipse.jetty.http.HttpFields;
import org.jspecify.annotations.Nullable;
import org.sequoiahub.core.upstream.SoftwareVersion;

/** Receives the response to a request that was passed on, on a network thread. */
public interface ForwardListener {

  /**
   * Called with the status and headers of a stream, before its first content.
   *
   * @param version the software version of the runner that made the first event; null if the other
   *     host did not state it
   */
  void streamStarted(int status, HttpFields headers, @Nullable SoftwareVersion version);

  /** Called with the next content of a stream. */
  void streamContent(ByteBuffer content);

  /** Called once with the end; not called if the request was cancelled. */
  void ended(ForwardOutcome outcome);
}
