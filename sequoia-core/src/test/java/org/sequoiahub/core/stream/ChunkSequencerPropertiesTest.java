package org.sequoiahub.core.stream;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/**
 * Guards against a response with a chunk missing or duplicated.
 *
 * <p>Chunks arrive late, twice and out of order, from an old and a new connection; the end marker
 * arrives before the last chunk; a stream breaks and is resumed from what was delivered. The end
 * marker must not count while something before it is missing.
 */
class ChunkSequencerPropertiesTest {

  private static final int CHUNKS = 12;

  @Property(tries = 5_000, seed = "20261206")
  void deliversPrefixAndIsCompleteOnlyWhenAllArrived(
      @ForAll @Size(max = 60) List<@IntRange(min = 0, max = CHUNKS + 3) Integer> arrivals) {
    ChunkSequencer sequencer = new ChunkSequencer(0, 4);
    List<String> delivered = new ArrayList<>();
    for (int arrival : arrivals) {
      if (arrival == 0) {
        sequencer.end(CHUNKS);
      } else if (arrival <= CHUNKS) {
        byte[] data = ("c" + arrival).getBytes(UTF_8);
        sequencer.accept(arrival, data).forEach(d -> delivered.add(new String(d, UTF_8)));
      } else {
        sequencer = resumed(sequencer, arrivals.contains(0));
      }
      List<String> prefix = new ArrayList<>();
      for (int i = 1; i <= delivered.size(); i++) {
        prefix.add("c" + i);
      }
      assertThat(delivered).isEqualTo(prefix);
      if (sequencer.isComplete()) {
        assertThat(delivered).hasSize(CHUNKS);
      }
    }
  }

  private static ChunkSequencer resumed(ChunkSequencer old, boolean ended) {
    ChunkSequencer next = new ChunkSequencer(old.delivered(), 4);
    if (ended && old.isComplete()) {
      next.end(CHUNKS);
    }
    return next;
  }
}
