package org.sequoiahub.core.stream;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.ByteArrayOutputStream;
import java.util.Arrays;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sequoiahub.core.response.StreamPosition;

/**
 * Guards against a response in which parts of two different events are joined.
 *
 * <p>The network splits a stream anywhere; a runner stops in the middle of an event, and another
 * one continues after the last complete event. A partial event must not be forwarded.
 */
class EventSplitterTest {

  private static String event(int number) {
    return "id: " + number + "\ndata: words " + number + "\n\n";
  }

  @Property(tries = 2_000, seed = "20261215")
  void forwardsOnlyCompleteEventsWhereverTheStreamIsSplit(
      @ForAll @Size(max = 30) List<@IntRange(min = 1, max = 40) Integer> sizes,
      @ForAll @IntRange(max = 200) int breakAt) {
    StringBuilder all = new StringBuilder();
    for (int number = 1; number <= 10; number++) {
      all.append(event(number));
    }
    EventSplitter splitter = new EventSplitter();
    ByteArrayOutputStream forwarded = new ByteArrayOutputStream();
    feed(splitter, forwarded, all.substring(0, Math.min(breakAt, all.length())), sizes);
    splitter.beginRun();
    int last = splitter.lastEventId().isEmpty() ? 0 : Integer.parseInt(splitter.lastEventId());
    StringBuilder remainder = new StringBuilder();
    for (int number = last + 1; number <= 10; number++) {
      remainder.append(event(number));
    }
    feed(splitter, forwarded, remainder.toString(), sizes);
    forwarded.writeBytes(splitter.drainRemainder());
    assertThat(forwarded.toString(UTF_8)).isEqualTo(all.toString());
    assertThat(splitter.completeEvents()).isEqualTo(10);
  }

  private static void feed(
      EventSplitter splitter, ByteArrayOutputStream forwarded, String text, List<Integer> sizes) {
    byte[] bytes = text.getBytes(UTF_8);
    int offset = 0;
    int sizeIndex = 0;
    while (offset < bytes.length) {
      int size = sizes.isEmpty() ? bytes.length : sizes.get(sizeIndex++ % sizes.size());
      int end = Math.min(bytes.length, offset + size);
      forwarded.writeBytes(splitter.accept(Arrays.copyOfRange(bytes, offset, end)));
      offset = end;
    }
  }

  private static String forwarded(EventSplitter splitter, String... parts) {
    ByteArrayOutputStream forwarded = new ByteArrayOutputStream();
    for (String part : parts) {
      forwarded.writeBytes(splitter.accept(part.getBytes(UTF_8)));
    }
    return forwarded.toString(UTF_8);
  }

  /** Guards against line ends and marks of the standard that are not recognized. */
  @Nested
  class Lines {

    @ParameterizedTest
    @ValueSource(
        strings = {
          "id: 1\ndata: a\n\n",
          "id: 1\rdata: a\r\r",
          "id: 1\r\ndata: a\r\n\r\n",
          "id: 1\ndata: a\r\n\n",
          "id: 1\rdata: a\n\r",
          "\uFEFFid: 1\ndata: a\n\n",
          ": comment\nid: 1\n\n",
          "id:1\n\n"
        })
    void completeEventIsForwardedWhereverItIsSplit(String event) {
      byte[] bytes = event.getBytes(UTF_8);
      for (int at = 0; at <= bytes.length; at++) {
        EventSplitter splitter = new EventSplitter();
        ByteArrayOutputStream forwarded = new ByteArrayOutputStream();
        forwarded.writeBytes(splitter.accept(Arrays.copyOfRange(bytes, 0, at)));
        forwarded.writeBytes(splitter.accept(Arrays.copyOfRange(bytes, at, bytes.length)));
        assertThat(forwarded.toString(UTF_8)).isEqualTo(event);
        assertThat(splitter.lastEventId()).isEqualTo("1");
        assertThat(splitter.completeEvents()).isEqualTo(1);
        assertThat(splitter.position()).isEqualTo(StreamPosition.BETWEEN_EVENTS);
      }
    }

    @Test
    void lineOfSpacesIsNotEmpty() {
      EventSplitter splitter = new EventSplitter();
      assertThat(forwarded(splitter, "data: a\n \n")).isEmpty();
      assertThat(splitter.position()).isEqualTo(StreamPosition.INSIDE_EVENT);
    }

    @Test
    void fieldNamesAreCaseSensitive() {
      EventSplitter splitter = new EventSplitter();
      assertThat(forwarded(splitter, "id: 4\n\nID: 5\nidea: 6\n\n")).isNotEmpty();
      assertThat(splitter.lastEventId()).isEqualTo("4");
    }

    @Test
    void commentsAloneAreNoEvent() {
      EventSplitter splitter = new EventSplitter();
      assertThat(forwarded(splitter, ": still there\n\n")).isEqualTo(": still there\n\n");
      assertThat(splitter.completeEvents()).isEqualTo(0);
      assertThat(splitter.position()).isEqualTo(StreamPosition.BEFORE_FIRST_EVENT);
    }

    @Test
    void commentsAfterTheLastEventRemain() {
      EventSplitter splitter = new EventSplitter();
      assertThat(forwarded(splitter, event(1) + ": end\n")).isEqualTo(event(1));
      assertThat(splitter.position()).isEqualTo(StreamPosition.BETWEEN_EVENTS);
      assertThat(new String(splitter.drainRemainder(), UTF_8)).isEqualTo(": end\n");
    }

    @Test
    void byteOrderMarkOfAnotherRunIsDropped() {
      EventSplitter splitter = new EventSplitter();
      String first = forwarded(splitter, "\uFEFF" + event(1) + "id: 2\nda");
      splitter.beginRun();
      assertThat(first + forwarded(splitter, "\uFEFF" + event(2)))
          .isEqualTo("\uFEFF" + event(1) + event(2));
    }
  }

  /** Guards against a truncated stream that is taken for a complete one. */
  @Nested
  class Positions {

    @Test
    void everyCutInsideAnEventIsDetected() {
      String event = "id: 2\r\ndata: words 2\r\n\r";
      for (int length = 1; length < event.length(); length++) {
        EventSplitter splitter = new EventSplitter();
        assertThat(forwarded(splitter, event(1), event.substring(0, length))).isEqualTo(event(1));
        assertThat(splitter.position()).isEqualTo(StreamPosition.INSIDE_EVENT);
      }
    }

    @Test
    void areThoseOfTheCurrentRun() {
      EventSplitter splitter = new EventSplitter();
      assertThat(splitter.position()).isEqualTo(StreamPosition.BEFORE_FIRST_EVENT);
      assertThat(forwarded(splitter, event(1) + "id")).isEqualTo(event(1));
      splitter.beginRun();
      assertThat(splitter.position()).isEqualTo(StreamPosition.BEFORE_FIRST_EVENT);
    }
  }
}
