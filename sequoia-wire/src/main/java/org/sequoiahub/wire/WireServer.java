package org.sequoiahub.wire;

import static java.util.Objects.requireNonNull;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import org.sequoiahub.schema.wire.Envelope;
import org.sequoiahub.schema.wire.Pong;

/** Accepts connections from other processes of the system. */
public final class WireServer implements AutoCloseable {

  /** Clients send something within their idle timeout; the server waits longer to close. */
  private static final int IDLE_TIMEOUTS_BEFORE_CLOSE = 3;

  /** Bytes waiting to be sent on a connection from which it counts as not writable. */
  private static final int MAX_UNSENT_BYTES = 4 << 20;

  private final Channel channel;

  private WireServer(Channel channel) {
    this.channel = channel;
  }

  /** Receives messages and closed connections; invoked on a network thread. */
  public interface Handler {
    /** Receives one message. */
    void onMessage(WireConnection connection, Envelope message);

    /** Called once when a connection has closed. */
    void onClosed(WireConnection connection);
  }

  /**
   * Opens a server on a port.
   *
   * @param idleTimeoutMillis the idle timeout of the clients (ms)
   * @throws IOException if the address and port cannot be used
   */
  public static WireServer open(
      EventLoopGroup group, String address, int port, long idleTimeoutMillis, Handler handler)
      throws IOException {
    requireNonNull(handler, "handler must not be null");
    ServerBootstrap bootstrap =
        new ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel.class)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(
                ChannelOption.WRITE_BUFFER_WATER_MARK,
                new WriteBufferWaterMark(MAX_UNSENT_BYTES / 2, MAX_UNSENT_BYTES))
            .childHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel child) {
                    long readerIdleMillis = idleTimeoutMillis * IDLE_TIMEOUTS_BEFORE_CLOSE;
                    Pipelines.addCodec(child.pipeline(), readerIdleMillis, 0);
                    child.pipeline().addLast(new Inbound(new WireConnection(child), handler));
                  }
                });
    var bound = bootstrap.bind(new InetSocketAddress(address, port)).awaitUninterruptibly();
    if (!bound.isSuccess()) {
      throw new IOException(address + ":" + port + ": " + bound.cause(), bound.cause());
    }
    return new WireServer(bound.channel());
  }

  /** Returns the open port. */
  public int port() {
    return ((InetSocketAddress) channel.localAddress()).getPort();
  }

  @Override
  public void close() {
    channel.close().awaitUninterruptibly();
  }

  private static final class Inbound extends SimpleChannelInboundHandler<Envelope> {
    private final WireConnection connection;
    private final Handler handler;

    Inbound(WireConnection connection, Handler handler) {
      this.connection = connection;
      this.handler = handler;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, Envelope message) {
      if (message.hasPing()) {
        Pong pong = Pong.newBuilder().setToken(message.getPing().getToken()).build();
        connection.send(0, Envelope.newBuilder().setPong(pong));
      } else {
        handler.onMessage(connection, message);
      }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
      if (Pipelines.isReaderIdle(event)) {
        context.close();
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      handler.onClosed(connection);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }
  }
}
