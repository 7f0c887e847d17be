package org.sequoiahub.node.upstream;

import static com.google.common.truth.Truth.assertWithMessage;
import static java.nio.charset.StandardCharsets.UTF_8;

import java.nio.ByteBuffer;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.util.BufferUtil;
import org.sequoiahub.core.ratelimit.StatedLimit;
import org.sequoiahub.core.runnerstate.RunnerSignals;

/** Records the events of one attempt. */
final class AttemptRecorder implements AttemptListener {

  private static final long TIMEOUT_SECONDS = 20;

  private final BlockingQueue<StatedLimit> limits = new LinkedBlockingQueue<>();
  private final int maxContentLength;
  private final StringBuffer content = new StringBuffer();
  private final BlockingQueue<Outcome> outcomes = new LinkedBlockingQueue<>();

  AttemptRecorder() {
    this(Integer.MAX_VALUE);
  }

  /** Creates a listener that rejects content after {@code maxContentLength} characters. */
  AttemptRecorder(int maxContentLength) {
    this.maxContentLength = maxContentLength;
  }

  /** Returns the limits that the responses stated. */
  BlockingQueue<StatedLimit> limits() {
    return limits;
  }

  /** Returns the content of the stream that was received so far. */
  String content() {
    return content.toString();
  }

  @Override
  public void signalsReceived(RunnerSignals signals) {
    limits.add(signals.limit());
  }

  @Override
  public void streamStarted(int status, HttpFields headers) {}

  @Override
  public boolean streamContent(ByteBuffer buffer) {
    content.append(new String(BufferUtil.toArray(buffer), UTF_8));
    return content.length() <= maxContentLength;
  }

  @Override
  public void ended(Outcome outcome) {
    outcomes.add(outcome);
  }

  /** Returns whether the attempt has ended and its outcome was not taken yet. */
  boolean hasEnded() {
    return !outcomes.isEmpty();
  }

  /** Waits for the end of the attempt. */
  Outcome awaitOutcome() throws InterruptedException {
    Outcome outcome = outcomes.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    assertWithMessage("outcome").that(outcome).isNotNull();
    return outcome;
  }
}
