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
 * <p>A reader that is too slow is cut off once {@link #MAX_PENDING} pieces wait: without that bound
 * one stalled connection would hold its whole answer in memory.
 */
public final class PieceWriter {

  /** The most pieces that wait. */
  public static final int MAX_PENDING = 2_048;

  private final Response response;
  private final Callback callback;
  private final Deque<Piece> pending = new ArrayDeque<>();
  private boolean writing;
  private boolean closed;
  private boolean broken;

  /**
   * Creates a writer.
   *
   * @param response the answer
   * @param callback completed after the last piece, failed if the reader is gone or too slow
   */
  public PieceWriter(Response response, Callback callback) {
    this.response = requireNonNull(response, "response must not be null");
    this.callback = requireNonNull(callback, "callback must not be null");
  }

  /** Writes a piece; false if the answer is closed, or its reader gone or too slow. */
  public boolean write(ByteBuffer bytes, boolean last) {
    synchronized (this) {
      if (broken || closed) {
        return false;
      }
      if (pending.size() < MAX_PENDING) {
        closed = last;
        pending.add(new Piece(bytes, last));
        if (writing) {
          return true;
        }
        writing = true;
      } else {
        broken = true;
        pending.clear();
      }
    }
    if (isBroken()) {
      callback.failed(new IllegalStateException("the reader is too slow"));
      return false;
    }
    writeNext();
    return true;
  }

  /** Breaks the answer off without its end. */
  public void abort(Throwable cause) {
    synchronized (this) {
      if (broken || closed) {
        return;
      }
      broken = true;
      pending.clear();
    }
    callback.failed(cause);
  }

  /** Returns whether the reader is gone or was cut off. */
  public synchronized boolean isBroken() {
    return broken;
  }

  private void writeNext() {
    @Nullable Piece next;
    synchronized (this) {
      next = broken ? null : pending.poll();
      if (next == null) {
        writing = false;
        return;
      }
    }
    Piece piece = next;
    response.write(piece.last, piece.bytes, Callback.from(() -> written(piece), this::failed));
  }

  private void written(Piece piece) {
    if (piece.last) {
      callback.succeeded();
    } else {
      writeNext();
    }
  }

  private void failed(Throwable failure) {
    synchronized (this) {
      if (broken) {
        return;
      }
      broken = true;
      pending.clear();
    }
    callback.failed(failure);
  }

  private record Piece(ByteBuffer bytes, boolean last) {}
}
