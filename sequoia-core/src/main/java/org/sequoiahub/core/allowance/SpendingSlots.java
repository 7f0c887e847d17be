package org.sequoiahub.core.allowance;

import java.util.Arrays;

/**
 * A ring buffer of what one workspace spent in each of the latest time slots.
 *
 * <p>A slot is identified by its index: its start time divided by {@link #MILLIS}. Slots older than
 * the ring read as 0.
 */
final class SpendingSlots {

  /** Length of a slot (ms): fine enough to see when a window's sum is over. */
  static final long MILLIS = 250;

  private final long[] spent;
  private long newestIndex = Long.MIN_VALUE;

  /** Creates a ring of {@code count} slots. */
  SpendingSlots(int count) {
    this.spent = new long[count];
  }

  static long index(long millis) {
    return Math.floorDiv(millis, MILLIS);
  }

  long get(long index) {
    return contains(index) ? spent[position(index)] : 0;
  }

  /** Adds to a slot; has no effect if the slot is older than the ring. */
  void add(long index, long amount) {
    advanceTo(index);
    if (contains(index)) {
      spent[position(index)] = Math.max(0, spent[position(index)] + amount);
    }
  }

  /** Sets a slot; has no effect if the slot is older than the ring. */
  void set(long index, long amount) {
    advanceTo(index);
    if (contains(index)) {
      spent[position(index)] = amount;
    }
  }

  /** Returns the sum of slots from {@code first} (inclusive) to {@code end} (exclusive). */
  long sum(long first, long end) {
    long sum = 0;
    for (long index = first; index < end; index++) {
      sum += get(index);
    }
    return sum;
  }

  private boolean contains(long index) {
    return newestIndex != Long.MIN_VALUE
        && index <= newestIndex
        && index > newestIndex - spent.length;
  }

  private int position(long index) {
    return (int) Math.floorMod(index, (long) spent.length);
  }

  private void advanceTo(long index) {
    if (newestIndex == Long.MIN_VALUE || index - newestIndex >= spent.length) {
      Arrays.fill(spent, 0);
      newestIndex = Math.max(newestIndex, index);
      return;
    }
    for (long next = newestIndex + 1; next <= index; next++) {
      spent[position(next)] = 0;
      newestIndex = next;
    }
  }
}
