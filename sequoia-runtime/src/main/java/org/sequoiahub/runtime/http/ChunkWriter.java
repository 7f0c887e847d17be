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
 * <p>The response is aborted if {@link #MAX_PENDING_CHUNKS} chunks are pending because its reader
 * is too slow: without that limit a stalled connection would keep its whole response in memory.
 */
public final class ChunkWriter {

  /** The maximum number of pending chunks. */
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
   * @param response the response to write to
   * @param callback completed after the last chunk; failed if the reader is gone or too slow
   */
  public ChunkWriter(Response response, Callback callback) {
    this.response = requireNonNull(response, "response must not be null");
    this.callback = requireNonNull(callback, "callback must not be null");
  }

  /** Writes a chunk; false if the response is closed, or its reader is gone or too slow. */
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
      aborted = true;
      pending.clear();
    }
    callback.failed(cause);
  }

  /** Returns whether the response was aborted by {@link #abort} or by a failing or slow reader. */
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
    Chunk chunk = next;
    response.write(chunk.last, chunk.bytes, Callback.from(() -> written(chunk), this::failed));
  }

  private void written(Chunk chunk) {
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
      aborted = true;
      pending.clear();
    }
    callback.failed(failure);
  }

  private record Chunk(ByteBuffer bytes, boolean last) {}
}
