package org.sequoiahub.node.upstream;

import java.nio.ByteBuffer;
import org.eclipse.jetty.http.HttpFields;
import org.sequoiahub.core.runnerstate.RunnerSignals;

/** Receives the events of one attempt, on an HTTP client thread. */
public interface AttemptListener {

  /**
   * Called with what the head of a response to this request states about the runner, before the
   * other methods are called.
   */
  void signalsReceived(RunnerSignals signals);

  /** Called with the status and headers of a successful stream, before its first content. */
  void streamStarted(int status, HttpFields headers);

  /**
   * Called with the next content of a successful stream; the listener owns the buffer.
   *
   * @return false if the content cannot be part of a valid stream; the attempt then ends
   */
  boolean streamContent(ByteBuffer content);

  /** Called once with the outcome, when the attempt has ended; not called if it was cancelled. */
  void ended(Outcome outcome);
}
