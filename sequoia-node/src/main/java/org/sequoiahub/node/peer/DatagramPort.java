package org.sequoiahub.node.peer;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.BiConsumer;
import org.sequoiahub.runtime.log.EventLog;
import org.sequoiahub.schema.peer.PeerDatagram;

/** UDP port for datagrams between hosts. */
public final class DatagramPort implements AutoCloseable {

  /** Largest datagram (bytes): the most that UDP over IPv4 carries. */
  private static final int MAX_DATAGRAM_BYTES = 65_507;

  private final Channel channel;
  private final int port;
  private final Counter sent;

  private DatagramPort(Channel channel, int port, Counter sent) {
    this.channel = channel;
    this.port = port;
    this.sent = sent;
  }

  /**
   * Opens the port.
   *
   * @param metrics counts the datagrams in both directions
   * @param receiver receives the sender's IP address and the datagram, on the network thread
   * @throws IOException if the port cannot be opened
   */
  public static DatagramPort open(
      EventLoopGroup group,
      String ip,
      int port,
      MetricRegistry metrics,
      EventLog log,
      BiConsumer<String, PeerDatagram> receiver)
      throws IOException {
    ChannelFuture bound =
        new Bootstrap()
            .group(group)
            .channel(NioDatagramChannel.class)
            .option(
                ChannelOption.RECVBUF_ALLOCATOR,
                new FixedRecvByteBufAllocator(MAX_DATAGRAM_BYTES).maxMessagesPerRead(1))
            .handler(new InboundHandler(metrics.counter("datagrams.received"), log, receiver))
            .bind(new InetSocketAddress(ip, port))
            .awaitUninterruptibly();
    if (!bound.isSuccess()) {
      throw new IOException(
          "cannot bind UDP port " + ip + ":" + port + ": " + bound.cause(), bound.cause());
    }
    return new DatagramPort(bound.channel(), port, metrics.counter("datagrams.sent"));
  }

  /** Sends a datagram to another host; delivery is not guaranteed. */
  public void send(String ip, byte[] datagram) {
    sent.inc();
    channel.writeAndFlush(
        new DatagramPacket(Unpooled.wrappedBuffer(datagram), new InetSocketAddress(ip, port)),
        channel.voidPromise());
  }

  @Override
  public void close() {
    channel.close().awaitUninterruptibly();
  }

  private static final class InboundHandler extends SimpleChannelInboundHandler<DatagramPacket> {
    private final Counter received;
    private final EventLog log;
    private final BiConsumer<String, PeerDatagram> receiver;

    InboundHandler(Counter received, EventLog log, BiConsumer<String, PeerDatagram> receiver) {
      this.received = received;
      this.log = log;
      this.receiver = receiver;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
      received.inc();
      try {
        receiver.accept(
            packet.sender().getAddress().getHostAddress(),
            PeerDatagram.parseFrom(ByteBufUtil.getBytes(packet.content())));
      } catch (InvalidProtocolBufferException e) {
        log.warning("datagram-dropped", "from", packet.sender(), "why", e.getMessage());
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      log.debug("datagram-failed", "why", cause);
    }
  }
}
