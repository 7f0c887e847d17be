package org.sequoiahub.node.call;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import org.eclipse.jetty.http.HttpFields;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sequoiahub.core.response.Framing;
import org.sequoiahub.core.upstream.SoftwareVersion;
import org.sequoiahub.node.caller.StubExchange;

/**
 * Guards against streams whose origin and head belong to different attempts, and against events of
 * two attempts in one stream.
 */
class StreamRelayTest {

  private static final SoftwareVersion V1 = SoftwareVersion.of("v1");
  private static final SoftwareVersion V2 = SoftwareVersion.of("v1.1");

  private final List<String> sent = new ArrayList<>();
  private final StreamRelay relay = new StreamRelay(new RecordingExchange());

  /** Records what is sent to the caller. */
  private final class RecordingExchange extends StubExchange {
    private boolean started;

    @Override
    public void originatesAt(SoftwareVersion version) {
      sent.add("origin " + version);
    }

    @Override
    public void start(int status, HttpFields headers) {
      if (!started) {
        started = true;
        sent.add("head " + headers.get("X"));
      }
    }

    @Override
    public boolean writeChunk(ByteBuffer bytes) {
      sent.add(UTF_8.decode(bytes).toString());
      return true;
    }

    @Override
    public void complete() {
      sent.add("end");
    }

    @Override
    public boolean isStarted() {
      return started;
    }
  }

  private void attempt(int number, SoftwareVersion version, String... chunks) {
    relay.expectAttempt(number);
    relay.start(number, 200, HttpFields.build().add("X", "attempt-" + number), version);
    for (String chunk : chunks) {
      relay.relayChunk(number, ByteBuffer.wrap(chunk.getBytes(UTF_8)), 0);
    }
  }

  @Test
  void headAndOriginAreThoseOfTheFirstEvent() {
    attempt(1, V1, "id: 1\nda");
    assertThat(relay.origin()).isEmpty();
    attempt(2, V2, "id: 1\n\n");
    assertThat(relay.origin()).hasValue(V2);
    assertThat(sent).containsExactly("origin v1.1", "head attempt-2", "id: 1\n\n").inOrder();
  }

  @Test
  void commentBeforeTheFirstEventBindsTheStreamToItsVersion() {
    attempt(1, V1, ": hello\n\n");
    assertThat(relay.origin()).hasValue(V1);
    assertThat(sent).containsExactly("origin v1", "head attempt-1", ": hello\n\n").inOrder();
  }

  @Test
  void attemptThatWasGivenUpBringsNothing() {
    attempt(1, V1);
    relay.expectNone();
    relay.relayChunk(1, ByteBuffer.wrap("id: 1\n\n".getBytes(UTF_8)), 0);
    assertThat(relay.origin()).isEmpty();
    assertThat(sent).isEmpty();
  }

  @Test
  void streamInsideAnEventIsNotComplete() {
    attempt(1, V1, "id: 1\n\n", "id: 2");
    assertThat(relay.completeness(1, Framing.CHUNKS).isComplete()).isFalse();
    relay.relayChunk(1, ByteBuffer.wrap("\n\n".getBytes(UTF_8)), 0);
    assertThat(relay.completeness(1, Framing.CONNECTION_END).isComplete()).isTrue();
  }

  /** A second attempt stands by while the runner of the first one is silent. */
  @Nested
  class Standby {

    private String begin() {
      attempt(1, V1, "id: 1\n\n", "id: 2\nda");
      String after = relay.expectStandby(2);
      relay.start(2, 200, HttpFields.build().add("X", "attempt-2"), V1);
      sent.clear();
      return after;
    }

    private void relay(int number, String chunk) {
      relay.relayChunk(number, ByteBuffer.wrap(chunk.getBytes(UTF_8)), 0);
    }

    @Test
    void goesOnAfterTheLastEventThatWasRelayed() {
      assertThat(begin()).isEqualTo("1");
    }

    @Test
    void takesOverWithItsFirstCompleteEvent() {
      begin();
      relay(2, "id: 2\n");
      assertThat(relay.hasStandby()).isTrue();
      relay(2, "\nid: 3\n");
      assertThat(relay.currentAttempt()).isEqualTo(2);
      relay(1, "ta: late\n\n");
      relay(2, "\n");
      assertThat(sent).containsExactly("id: 2\n\n", "id: 3\n\n").inOrder();
    }

    @Test
    void bringsNothingOnceTheFirstAttemptWentOn() {
      begin();
      relay(2, "id: 2\n");
      relay(1, "ta: x\n\n");
      assertThat(relay.hasStandby()).isFalse();
      relay(2, "\n");
      assertThat(relay.currentAttempt()).isEqualTo(1);
      assertThat(sent).containsExactly("id: 2\nda" + "ta: x\n\n");
    }

    @Test
    void takesOverIfTheFirstAttemptFails() {
      begin();
      relay(2, "id: 2\n");
      relay.attemptFailed(1);
      relay(2, "\n");
      assertThat(relay.currentAttempt()).isEqualTo(2);
      assertThat(sent).containsExactly("id: 2\n\n");
    }

    @Test
    void leavesTheFirstAttemptIfItFailsItself() {
      begin();
      relay.attemptFailed(2);
      relay(1, "ta: x\n\n");
      assertThat(sent).containsExactly("id: 2\nda" + "ta: x\n\n");
    }

    @Test
    void takesOverWithCompleteStreamThatHasNoFurtherEvent() {
      begin();
      assertThat(relay.completeness(2, Framing.CHUNKS).isComplete()).isTrue();
      assertThat(relay.currentAttempt()).isEqualTo(2);
    }

    /** The head and the events that follow it must be of one version. */
    @Test
    void ofAnotherVersionDoesNotTakeOverOnceTheHeadOfTheFirstAttemptWasSent() {
      attempt(1, V1);
      relay.expectStandby(2);
      relay.start(2, 200, HttpFields.build().add("X", "attempt-2"), V2);
      relay(1, ": still here\n\n");
      relay(2, "id: 1\n\n");
      assertThat(relay.origin()).hasValue(V1);
      assertThat(sent).containsExactly("origin v1", "head attempt-1", ": still here\n\n").inOrder();
    }

    @Test
    void chunkIsAttributedToTheAttemptThatReceivedIt() {
      begin();
      relay(1, "ta: x\n\n");
      assertThat(relay.lastChunkMillis(1)).isEqualTo(relay.lastChunkMillis());
      assertThat(relay.lastChunkMillis(2)).isEqualTo(0);
    }

    @Test
    void isDroppedOnceTheStreamOfTheFirstAttemptIsComplete() {
      begin();
      relay(1, "ta: x\n\n");
      relay.expectStandby(3);
      assertThat(relay.completeness(1, Framing.CHUNKS).isComplete()).isTrue();
      assertThat(relay.hasStandby()).isFalse();
    }
  }
}
