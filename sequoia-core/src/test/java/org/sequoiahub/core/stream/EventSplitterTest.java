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
 * Symptom: a call sheet in which two halves of different lines are joined.
 *
 * <p>Events: the network cuts a stream anywhere; a runner stops in the middle of an event, and
 * another one goes on after the last whole event.
 *
 * <p>Cause looked for: a half event that was passed on.
 */
class EventSplitterTest {

  private static String event(int number) {
    return "id: " + number + "\ndata: words " + number + "\n\n";
  }

  @Property(tries = 2_000, seed = "20261215")
  void whatLeavesIsWholeEventsWhateverTheCuts(
      @ForAll @Size(max = 30) List<@IntRange(min = 1, max = 40) Integer> cuts,
      @ForAll @IntRange(max = 200) int breakAt) {
    StringBuilder all = new StringBuilder();
    for (int number = 1; number <= 10; number++) {
      all.append(event(number));
    }
    EventSplitter splitter = new EventSplitter();
    ByteArrayOutputStream passed = new ByteArrayOutputStream();
    feed(splitter, passed, all.substring(0, Math.min(breakAt, all.length())), cuts);
    splitter.dropPartial();
    int last = splitter.lastEventId().isEmpty() ? 0 : Integer.parseInt(splitter.lastEventId());
    StringBuilder rest = new StringBuilder();
    for (int number = last + 1; number <= 10; number++) {
      rest.append(event(number));
    }
    feed(splitter, passed, rest.toString(), cuts);
    passed.writeBytes(splitter.drainRemainder());
    assertThat(passed.toString(UTF_8)).isEqualTo(all.toString());
    assertThat(splitter.completeEvents()).isEqualTo(10);
  }

  private static void feed(
      EventSplitter splitter, ByteArrayOutputStream passed, String text, List<Integer> cuts) {
    byte[] bytes = text.getBytes(UTF_8);
    int at = 0;
    int cut = 0;
    while (at < bytes.length) {
      int size = cuts.isEmpty() ? bytes.length : cuts.get(cut++ % cuts.size());
      int end = Math.min(bytes.length, at + size);
      passed.writeBytes(splitter.accept(java.util.Arrays.copyOfRange(bytes, at, end)));
      at = end;
    }
  }
}
