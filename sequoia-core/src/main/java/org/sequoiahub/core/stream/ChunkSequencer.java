package org.sequoiahub.core.stream;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Delivers the chunks of one response in order, once each, and detects when the response is
 * complete.
 *
 * <p>Chunks are numbered from 1. After a resume the upstream may send some of them again, and
 * chunks of the old and the new connection may interleave; both do no harm.
 *
 * <p>Not thread-safe; used by a single thread.
 */
public final class ChunkSequencer {

  private final int maxAhead;
  private final Map<Long, byte[]> buffered = new TreeMap<>();
  private long delivered;
  private long dropped;
  private long totalChunks = -1;

  /**
   * Creates a sequencer.
   *
   * @param delivered the number of the last chunk that was delivered before; 0 if none was
   * @param maxAhead the maximum number of chunks that are buffered while an earlier one is missing
   */
  public ChunkSequencer(long delivered, int maxAhead) {
    checkArgument(
        delivered >= 0,
        "delivered (the number of the last delivered chunk) must not be negative, was %s",
        delivered);
    checkArgument(maxAhead > 0, "maxAhead must be above 0, was %s", maxAhead);
    this.delivered = delivered;
    this.maxAhead = maxAhead;
  }

  /**
   * Accepts a chunk and returns the chunks that can be delivered now, in order.
   *
   * <p>A duplicate, or a chunk too far ahead, is dropped and counted. Dropping the latter loses
   * nothing: the gap makes the response incomplete, and a resume requests everything after {@link
   * #delivered()}.
   */
  public List<byte[]> accept(long sequence, byte[] data) {
    checkArgument(sequence > 0, "sequence must be above 0, was %s", sequence);
    boolean afterEnd = totalChunks >= 0 && sequence > totalChunks;
    if (sequence <= delivered || sequence > delivered + maxAhead || afterEnd) {
      dropped++;
      return List.of();
    }
    if (buffered.putIfAbsent(sequence, data) != null) {
      dropped++;
      return List.of();
    }
    List<byte[]> ready = new ArrayList<>();
    for (byte[] next = buffered.remove(delivered + 1);
        next != null;
        next = buffered.remove(delivered + 1)) {
      delivered++;
      ready.add(next);
    }
    return ready;
  }

  /**
   * Records the upstream's end marker, which states that the response has {@code chunks} chunks.
   */
  public void end(long chunks) {
    checkArgument(chunks >= 0, "chunks must not be negative");
    totalChunks = chunks;
  }

  /** Returns whether the end marker was received and everything before it was delivered. */
  public boolean isComplete() {
    return totalChunks >= 0 && delivered == totalChunks;
  }

  /** Returns the number of the last delivered chunk. */
  public long delivered() {
    return delivered;
  }

  /** Returns the number of chunks that were dropped as duplicate or out of range. */
  public long dropped() {
    return dropped;
  }
}
