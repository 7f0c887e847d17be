package org.sequoiahub.wire;

import io.netty.channel.Channel;
import java.net.InetSocketAddress;
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

  /** Returns whether the bytes that wait to be sent are below the limit of the connection. */
  public boolean isWritable() {
    return channel.isWritable();
  }

  /** Returns the IP address of the other side; empty if it is not known. */
  public String remoteIp() {
    return channel.remoteAddress() instanceof InetSocketAddress address
        ? address.getAddress().getHostAddress()
        : "";
  }

  @Override
  public String toString() {
    return channel.id().asShortText();
  }
}
