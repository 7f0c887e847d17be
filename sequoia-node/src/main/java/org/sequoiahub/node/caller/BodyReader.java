package org.sequoiahub.node.caller;

import java.io.ByteArrayOutputStream;
import java.util.function.Consumer;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.util.BufferUtil;

/**
 * Reads a request's whole body before anything is done with the request: a body that is cut short
 * or too long then reaches no runner, and a request can be given to a second one.
 */
final class BodyReader {

  private final Request request;
  private final long maxBytes;
  private final Consumer<byte[]> onComplete;
  private final Runnable onTooLong;
  private final Consumer<Throwable> onFailure;
  private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();

  BodyReader(
      Request request,
      long maxBytes,
      Consumer<byte[]> whole,
      Runnable tooLong,
      Consumer<Throwable> failed) {
    this.request = request;
    this.maxBytes = maxBytes;
    this.onComplete = whole;
    this.onTooLong = tooLong;
    this.onFailure = failed;
  }

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
      byte[] piece = BufferUtil.toArray(chunk.getByteBuffer());
      chunk.release();
      if (bytes.size() + piece.length > maxBytes) {
        onTooLong.run();
        return;
      }
      bytes.write(piece, 0, piece.length);
      if (last) {
        onComplete.accept(bytes.toByteArray());
        return;
      }
    }
  }
}
