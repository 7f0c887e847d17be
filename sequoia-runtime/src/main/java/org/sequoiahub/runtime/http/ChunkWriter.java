package org.sequoiahub.runtime.http;

import static java.util.Objects.requireNonNull;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.jspecify.annotations.Nullable;

/**
 * Writes the chunks of a response in order, without blocking and from any thread.
 *
 * <p>The response is aborted if its reader is too slow, that is, if {@link #MAX_PENDING_CHUNKS}
 * chunks or {@link #MAX_PENDING_BYTES} are pending or the budget of all responses is used up:
 * without these limits stalled connections would keep their whole responses in memory.
 */
public final class ChunkWriter {

  /** The maximum number of pending chunks. */
  public static final int MAX_PENDING_CHUNKS = 2_048;

  /**
   * The maximum number of pending bytes of a response: four times the largest event of a stream.
   */
  public static final int MAX_PENDING_BYTES = 4 << 20;

  private final Response response;
  private final Callback callback;
  private final WriteBudget budget;
  private final Deque<Chunk> pending = new ArrayDeque<>();

  /** Bytes of the pending chunks and of the one that is being written. */
  private long pendingBytes;

  private boolean writing;
  private boolean closed;
  private boolean aborted;

  /**
   * Creates a writer.
   *
   * @param response the response to write to
   * @param callback completed after the last chunk; failed if the reader is gone or too slow
   */
  public ChunkWriter(Response response, Callback callback) {
    this(response, callback, new WriteBudget(Long.MAX_VALUE));
  }

  /**
   * Creates a writer.
   *
   * @param response the response to write to
   * @param callback completed after the last chunk; failed if the reader is gone or too slow
   * @param budget bounds the pending bytes of all responses that share it
   */
  public ChunkWriter(Response response, Callback callback, WriteBudget budget) {
    this.budget = requireNonNull(budget, "budget must not be null");
    this.response = requireNonNull(response, "response must not be null");
    this.callback = requireNonNull(callback, "callback must not be null");
  }

  /** Writes a chunk; false if the response is closed, or its reader is gone or too slow. */
  public boolean write(ByteBuffer bytes, boolean last) {
    synchronized (this) {
      if (aborted || closed) {
        return false;
      }
      int size = bytes.remaining();
      if (pending.size() < MAX_PENDING_CHUNKS
          && pendingBytes + size <= MAX_PENDING_BYTES
          && budget.acquire(size)) {
        pendingBytes += size;
        closed = last;
        pending.add(new Chunk(bytes, size, last));
        if (writing) {
          return true;
        }
        writing = true;
      } else {
        abandonPending();
      }
    }
    if (isAborted()) {
      callback.failed(new IllegalStateException("response aborted: the reader is too slow"));
      return false;
    }
    writeNext();
    return true;
  }

  /** Aborts the response before its end. */
  public void abort(Throwable cause) {
    synchronized (this) {
      if (aborted || closed) {
        return;
      }
      abandonPending();
    }
    callback.failed(cause);
  }

  /** Returns whether the response was aborted by {@link #abort} or by a failing or slow reader. */
  public synchronized boolean isAborted() {
    return aborted;
  }

  private synchronized void abandonPending() {
    aborted = true;
    pending.clear();
    budget.release(pendingBytes);
    pendingBytes = 0;
  }

  private synchronized void releaseWritten(Chunk chunk) {
    if (!aborted) {
      pendingBytes -= chunk.size;
      budget.release(chunk.size);
    }
  }

  private void writeNext() {
    @Nullable Chunk next;
    synchronized (this) {
      next = aborted ? null : pending.poll();
      if (next == null) {
        writing = false;
        return;
      }
    }
    Chunk chunk = next;
    response.write(chunk.last, chunk.bytes, Callback.from(() -> written(chunk), this::failed));
  }

  private void written(Chunk chunk) {
    releaseWritten(chunk);
    if (chunk.last) {
      callback.succeeded();
    } else {
      writeNext();
    }
  }

  private void failed(Throwable failure) {
    synchronized (this) {
      if (aborted) {
        return;
      }
      abandonPending();
    }
    callback.failed(failure);
  }

  private record Chunk(ByteBuffer bytes, int size, boolean last) {}
}
