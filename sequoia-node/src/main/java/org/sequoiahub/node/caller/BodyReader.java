package org.sequoiahub.node.caller;

import java.io.ByteArrayOutputStream;
import java.util.function.Consumer;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.util.BufferUtil;

/**
 * Reads the complete body of a request before the request is processed, so that a truncated or
 * oversized body reaches no runner, and the request can be sent to a second runner.
 */
final class BodyReader {

  private final Request request;
  private final long maxBytes;
  private final Consumer<byte[]> onComplete;
  private final Runnable onTooLong;
  private final Consumer<Throwable> onFailure;
  private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();

  /**
   * Creates a reader; at most one of the callbacks is invoked.
   *
   * @param maxBytes the largest body that is accepted (bytes)
   * @param onComplete receives the complete body
   * @param onTooLong invoked when the body exceeds {@code maxBytes}
   * @param onFailure receives the failure if the body cannot be read
   */
  BodyReader(
      Request request,
      long maxBytes,
      Consumer<byte[]> onComplete,
      Runnable onTooLong,
      Consumer<Throwable> onFailure) {
    this.request = request;
    this.maxBytes = maxBytes;
    this.onComplete = onComplete;
    this.onTooLong = onTooLong;
    this.onFailure = onFailure;
  }

  /** Reads what is available, and continues when more arrives. */
  void read() {
    while (true) {
      Content.Chunk chunk = request.read();
      if (chunk == null) {
        request.demand(this::read);
        return;
      }
      if (Content.Chunk.isFailure(chunk)) {
        onFailure.accept(chunk.getFailure());
        return;
      }
      final boolean last = chunk.isLast();
      byte[] content = BufferUtil.toArray(chunk.getByteBuffer());
      chunk.release();
      if (bytes.size() + content.length > maxBytes) {
        onTooLong.run();
        return;
      }
      bytes.write(content, 0, content.length);
      if (last) {
        onComplete.accept(bytes.toByteArray());
        return;
      }
    }
  }
}
