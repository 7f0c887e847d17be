package org.sequoiahub.core.stream;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.ByteArrayOutputStream;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

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
    splitter.dropPartial();
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
      forwarded.writeBytes(splitter.accept(java.util.Arrays.copyOfRange(bytes, offset, end)));
      offset = end;
    }
  }
}
