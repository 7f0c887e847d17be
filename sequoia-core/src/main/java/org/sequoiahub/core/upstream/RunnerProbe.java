package org.sequoiahub.core.upstream;

import java.util.function.Consumer;
import org.sequoiahub.core.response.SenderState;

/** Asks a runner whether its process still runs. */
@FunctionalInterface
public interface RunnerProbe {

  /**
   * Sends a question to one incarnation of a runner.
   *
   * @param timeoutMillis time after which the state is {@link SenderState#UNKNOWN} (ms)
   * @param listener receives the result once, on any thread
   */
  void probe(RunnerEntry runner, long timeoutMillis, Consumer<SenderState> listener);
}
