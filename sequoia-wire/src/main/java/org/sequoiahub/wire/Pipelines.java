package org.sequoiahub.wire;

import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import io.netty.handler.timeout.IdleState;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.handler.timeout.IdleStateHandler;
import java.util.concurrent.TimeUnit;
import org.sequoiahub.schema.wire.Envelope;

/** The channel handlers common to both ends of a connection. */
final class Pipelines {

  /** The maximum frame size; an update with a full set of records is well below it. */
  private static final int MAX_FRAME_BYTES = 64 << 20;

  private static final int LENGTH_BYTES = 4;

  private Pipelines() {}

  /**
   * Adds the handlers.
   *
   * @param readerIdleMillis the time without a received message that is reported (ms)
   * @param writerIdleMillis the time without a sent message that is reported (ms); 0 for none
   */
  static void addCodec(ChannelPipeline pipeline, long readerIdleMillis, long writerIdleMillis) {
    pipeline.addLast(
        new IdleStateHandler(readerIdleMillis, writerIdleMillis, 0, TimeUnit.MILLISECONDS));
    pipeline.addLast(
        new LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES));
    pipeline.addLast(new ProtobufDecoder(Envelope.getDefaultInstance()));
    pipeline.addLast(new LengthFieldPrepender(LENGTH_BYTES));
    pipeline.addLast(new ProtobufEncoder());
  }

  static boolean isReaderIdle(Object event) {
    return event instanceof IdleStateEvent idle && idle.state() == IdleState.READER_IDLE;
  }

  static boolean isWriterIdle(Object event) {
    return event instanceof IdleStateEvent idle && idle.state() == IdleState.WRITER_IDLE;
  }
}
