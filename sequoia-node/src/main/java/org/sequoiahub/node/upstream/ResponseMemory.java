package org.sequoiahub.node.upstream;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Bounds the memory of all responses that are buffered until they are complete, so that runners
 * whose responses do not end cannot exhaust the memory of the process. Thread-safe.
 */
public final class ResponseMemory {

  /** Each response may take this much, whatever the others take (bytes). */
  private static final int SMALL_RESPONSE_BYTES = 64 << 10;

  /** Part of the heap; a buffer takes up to three times its content while it is copied. */
  private static final int HEAP_DIVISOR = 8;

  private final long maxBytes;
  private long usedBytes;

  /**
   * Creates a bound.
   *
   * @param maxBytes the memory for the responses that are larger than small ones (bytes)
   */
  public ResponseMemory(long maxBytes) {
    checkArgument(maxBytes > 0, "maxBytes must be above 0, was %s", maxBytes);
    this.maxBytes = maxBytes;
  }

  /**
   * Creates the bound of a process.
   *
   * @param heapBytes the maximum size of its heap (bytes)
   */
  public static ResponseMemory ofHeap(long heapBytes) {
    return new ResponseMemory(Math.max(1, heapBytes / HEAP_DIVISOR));
  }

  /** Begins to count the memory of a response. */
  Share open() {
    return new Share();
  }

  private synchronized boolean reserve(long bytes) {
    if (usedBytes + bytes > maxBytes) {
      return false;
    }
    usedBytes += bytes;
    return true;
  }

  private synchronized void release(long bytes) {
    usedBytes -= bytes;
  }

  /** The memory of one response. */
  final class Share {
    private long sizeBytes;
    private long reservedBytes;
    private boolean closed;

    /**
     * Takes memory for more of the response.
     *
     * @return false if there is none, or if the share is closed
     */
    synchronized boolean grow(int bytes) {
      if (closed) {
        return false;
      }
      long size = sizeBytes + bytes;
      long needed = size <= SMALL_RESPONSE_BYTES ? 0 : size - reservedBytes;
      if (needed > 0 && !reserve(needed)) {
        return false;
      }
      sizeBytes = size;
      reservedBytes += needed;
      return true;
    }

    /** Gives the memory back; later calls have no effect. */
    synchronized void close() {
      if (!closed) {
        closed = true;
        release(reservedBytes);
      }
    }
  }
}
