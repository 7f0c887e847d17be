package org.sequoiahub.wire;

import io.netty.channel.Channel;
import org.sequoiahub.schema.wire.Envelope;

/** The server's side of one connection. */
public final class WireConnection {

  private final Channel channel;

  WireConnection(Channel channel) {
    this.channel = channel;
  }

  /**
   * Sends a message; on a closed connection it is dropped, and the other side knows of the close.
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
