package org.sequoiahub.core.allowance;

import static com.google.common.truth.Truth.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

class SpendingSlotsTest {

  private static final int RING = 12;

  /** Compares the ring with a map, within the slots that it holds. */
  @Property(tries = 2_000, seed = "20261203")
  void behavesLikeMap(
      @ForAll @Size(min = 1, max = 60) List<@IntRange(min = -20, max = 40) Integer> indexes,
      @ForAll @Size(min = 60, max = 60) List<@IntRange(min = 0, max = 9) Integer> amounts) {
    SpendingSlots slots = new SpendingSlots(RING);
    Map<Long, Long> oracle = new HashMap<>();
    long newest = Long.MIN_VALUE;
    for (int i = 0; i < indexes.size(); i++) {
      long index = indexes.get(i);
      newest = Math.max(newest, index);
      if (i % 3 == 0) {
        slots.set(index, amounts.get(i));
        oracle.put(index, (long) amounts.get(i));
      } else {
        slots.add(index, amounts.get(i));
        oracle.merge(index, (long) amounts.get(i), Long::sum);
      }
      long oldest = newest - RING + 1;
      oracle.keySet().removeIf(old -> old < oldest);
      for (long at = oldest - 3; at <= newest + 3; at++) {
        assertThat(slots.get(at)).isEqualTo(oracle.getOrDefault(at, 0L));
      }
      long sum = oracle.values().stream().mapToLong(Long::longValue).sum();
      assertThat(slots.sum(oldest, newest + 1)).isEqualTo(sum);
    }
  }
}
