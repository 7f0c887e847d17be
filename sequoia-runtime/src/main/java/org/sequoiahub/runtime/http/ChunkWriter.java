package org.sequoiahub.runtime.http;

import static java.util.Objects.requireNonNull;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.jspecify.annotations.Nullable;

/**
 * Writes an answer's pieces one after the other, without blocking and from any thread.
 *
 * <p>A reader that is too slow is cut off once {@link #MAX_PENDING_CHUNKS} pieces wait: without that bound
 * one stalled connection would hold its whole answer in memory.
 */
public final class ChunkWriter {

  /** The most pieces that wait. */
  public static final int MAX_PENDING_CHUNKS = 2_048;

  private final Response response;
  private final Callback callback;
  private final Deque<Chunk> pending = new ArrayDeque<>();
  private boolean writing;
  private boolean closed;
  private boolean aborted;

  /**
   * Creates a writer.
   *
   * @param response the answer
   * @param callback completed after the last piece, failed if the reader is gone or too slow
   */
  public ChunkWriter(Response response, Callback callback) {
    this.response = requireNonNull(response, "response must not be null");
    this.callback = requireNonNull(callback, "callback must not be null");
  }

  /** Writes a piece; false if the answer is closed, or its reader gone or too slow. */
  public boolean write(ByteBuffer bytes, boolean last) {
    synchronized (this) {
      if (aborted || closed) {
        return false;
      }
      if (pending.size() < MAX_PENDING_CHUNKS) {
        closed = last;
        pending.add(new Chunk(bytes, last));
        if (writing) {
          return true;
        }
        writing = true;
      } else {
        aborted = true;
        pending.clear();
      }
    }
    if (isAborted()) {
      callback.failed(new IllegalStateException("the reader is too slow"));
      return false;
    }
    writeNext();
    return true;
  }

  /** Breaks the answer off without its end. */
  public void abort(Throwable cause) {
    synchronized (this) {
      if (aborted || closed) {
        return;
      }
      aborted = true;
      pending.clear();
    }
    callback.failed(cause);
  }

  /** Returns whether the reader is gone or was cut off. */
  public synchronized boolean isAborted() {
    return aborted;
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
    Chunk piece = next;
    response.write(piece.last, piece.bytes, Callback.from(() -> written(piece), this::failed));
  }

  private void written(Chunk piece) {
    if (piece.last) {
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
      aborted = true;
      pending.clear();
    }
    callback.failed(failure);
  }

  private record Chunk(ByteBuffer bytes, boolean last) {}
}
