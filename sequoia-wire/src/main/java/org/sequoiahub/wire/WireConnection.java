package org.sequoiahub.wire;

import io.netty.channel.Channel;
import org.sequoiahub.schema.wire.Envelope;

/** The server side of a connection. */
public final class WireConnection {

  private final Channel channel;

  WireConnection(Channel channel) {
    this.channel = channel;
  }

  /**
   * Sends a message of a call. On a closed connection it is dropped; the other side notices the
   * close itself.
   */
  public void send(long call, Envelope.Builder message) {
    channel.writeAndFlush(message.setCall(call).build(), channel.voidPromise());
  }

  /** Returns whether the connection is open. */
  public boolean isOpen() {
    return channel.isActive();
  }

  @Override
  public String toString() {
    return channel.id().asShortText();
  }
}
