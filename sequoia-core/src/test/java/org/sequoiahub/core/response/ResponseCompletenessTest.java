package org.sequoiahub.core.response;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards against truncated responses that count as complete. */
class ResponseCompletenessTest {

  @ParameterizedTest
  @EnumSource
  void bodyWithAnEndOfItsOwnIsCompleteHoweverTheConnectionEnds(ConnectionEnd end) {
    assertThat(ResponseCompleteness.of(Framing.LENGTH, end).isComplete()).isTrue();
    assertThat(ResponseCompleteness.of(Framing.CHUNKS, end).isComplete()).isTrue();
    assertThat(ResponseCompleteness.of(Framing.NO_BODY, end).isComplete()).isTrue();
  }

  @ParameterizedTest
  @EnumSource
  void bodyThatEndsWithItsConnectionIsCompleteOnlyIfItsSenderClosedIt(ConnectionEnd end) {
    assertThat(ResponseCompleteness.of(Framing.CONNECTION_END, end).isComplete())
        .isEqualTo(end == ConnectionEnd.CLOSED);
  }

  @ParameterizedTest
  @EnumSource
  void bodyThatEndsWithItsConnectionIsCompleteOnlyIfItsSenderOutlivedIt(SenderState sender) {
    assertThat(ResponseCompleteness.ofSender(sender).isComplete())
        .isEqualTo(sender == SenderState.RUNNING);
  }

  @ParameterizedTest
  @EnumSource
  void onlyBodiesThatEndWithTheirConnectionDependOnTheirSender(Framing framing) {
    assertThat(ResponseCompleteness.dependsOnSender(framing))
        .isEqualTo(framing == Framing.CONNECTION_END);
  }

  @ParameterizedTest
  @EnumSource
  void streamThatEndsInsideAnEventIsTruncated(Framing framing) {
    assertThat(ResponseCompleteness.ofStream(framing, StreamPosition.INSIDE_EVENT).isComplete())
        .isFalse();
    assertThat(ResponseCompleteness.ofStream(framing, StreamPosition.BETWEEN_EVENTS).isComplete())
        .isTrue();
  }

  @Test
  void streamWithoutAnyEventIsCompleteOnlyIfItsFramingSaysSo() {
    StreamPosition none = StreamPosition.BEFORE_FIRST_EVENT;
    assertThat(ResponseCompleteness.ofStream(Framing.CONNECTION_END, none).isComplete()).isFalse();
    assertThat(ResponseCompleteness.ofStream(Framing.CHUNKS, none).isComplete()).isTrue();
    assertThat(ResponseCompleteness.ofStream(Framing.LENGTH, none).isComplete()).isTrue();
  }
}
