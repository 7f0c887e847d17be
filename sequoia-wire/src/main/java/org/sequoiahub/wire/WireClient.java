package org.sequoiahub.wire;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.sequoiahub.runtime.settings.Endpoint;
import org.sequoiahub.schema.wire.Envelope;
import org.sequoiahub.schema.wire.Ping;

/**
 * One connection to another of our processes, opened when it is needed and opened anew when it is
 * lost.
 *
 * <p>A connection can go silent for good while new ones work, and the kernel may take a quarter of
 * an hour to notice. So the client probes whenever it has heard nothing for half its silence time,
 * and drops the connection after the whole of it; every call on it is then told that it is lost.
 */
public final class WireClient implements AutoCloseable {

  private static final int SILENT_PROBES = 2;

  private static final CallListener NO_ANSWER =
      new CallListener() {
        @Override
        public void onMessage(Envelope message) {}

        @Override
        public void onConnectionLost(boolean handedOn) {}
      };

  private final EventLoopGroup group;
  private final Endpoint endpoint;
  private final long silenceMillis;
  private final Map<Long, CallListener> calls = new HashMap<>();
  private final List<Envelope> unsent = new ArrayList<>();
  private long lastCall;
  private @Nullable Channel channel;
  private boolean connecting;
  private boolean closed;

  /**
   * Creates a client; the first call opens its connection.
   *
   * @param group the network threads
   * @param endpoint the other process
   * @param silenceMillis after how long without an answer a connection is dropped
   */
  public WireClient(EventLoopGroup group, Endpoint endpoint, long silenceMillis) {
    checkArgument(silenceMillis > 0, "silenceMillis must be above 0, was %s", silenceMillis);
    this.group = requireNonNull(group, "group must not be null");
    this.endpoint = requireNonNull(endpoint, "endpoint must not be null");
    this.silenceMillis = silenceMillis;
  }

  /** Returns the other process's address. */
  public Endpoint endpoint() {
    return endpoint;
  }

  /** Starts a call and returns its number. */
  public long call(Envelope.Builder message, CallListener listener) {
    boolean connect = false;
    long number;
    synchronized (this) {
      number = ++lastCall;
      if (!closed) {
        if (listener != NO_ANSWER) {
          calls.put(number, listener);
        }
        Envelope numbered = message.setCall(number).build();
        if (channel != null) {
          channel.writeAndFlush(numbered, channel.voidPromise());
        } else {
          unsent.add(numbered);
          connect = !connecting;
          connecting = true;
        }
      }
    }
    if (connect) {
      connect();
    } else if (closed) {
      listener.onConnectionLost(false);
    }
    return number;
  }

  /** Sends a further message of a call; dropped if the call is over. */
  public synchronized void send(long call, Envelope.Builder message) {
    if (channel != null && calls.containsKey(call)) {
      channel.writeAndFlush(message.setCall(call).build(), channel.voidPromise());
    }
  }

  /** Sends a message that has no answer. */
  public void sendOneWay(Envelope.Builder message) {
    call(message, NO_ANSWER);
  }

  /** Ends a call: nothing more is wanted of it. */
  public synchronized void endCall(long call) {
    calls.remove(call);
    unsent.removeIf(message -> message.getCall() == call);
  }

  @Override
  public void close() {
    Channel open;
    synchronized (this) {
      closed = true;
      open = channel;
    }
    if (open != null) {
      open.close();
    }
  }

  private void connect() {
    new Bootstrap()
        .group(group)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) silenceMillis)
        .handler(
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(Channel child) {
                Pipelines.addCodec(child.pipeline(), Math.max(1, silenceMillis / SILENT_PROBES));
                child.pipeline().addLast(new Inbound());
              }
            })
        .connect(endpoint.host(), endpoint.port())
        .addListener((ChannelFuture future) -> connected(future));
  }

  private void connected(ChannelFuture future) {
    if (!future.isSuccess()) {
      loseAll(false);
      return;
    }
    synchronized (this) {
      connecting = false;
      channel = future.channel();
      for (Envelope message : unsent) {
        channel.write(message, channel.voidPromise());
      }
      unsent.clear();
      channel.flush();
    }
    if (!future.channel().isActive()) {
      lost(future.channel());
    }
  }

  private void lost(Channel gone) {
    synchronized (this) {
      if (channel != gone) {
        return;
      }
      channel = null;
    }
    loseAll(true);
  }

  private void loseAll(boolean handedOn) {
    List<CallListener> listeners;
    synchronized (this) {
      connecting = false;
      unsent.clear();
      listeners = List.copyOf(calls.values());
      calls.clear();
    }
    listeners.forEach(listener -> listener.onConnectionLost(handedOn));
  }

  private synchronized @Nullable CallListener listener(long call) {
    return calls.get(call);
  }

  private final class Inbound extends SimpleChannelInboundHandler<Envelope> {
    private int silentProbes;

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
      silentProbes = 0;
      super.channelRead(context, message);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, Envelope message) {
      CallListener listener = listener(message.getCall());
      if (listener != null) {
        listener.onMessage(message);
      }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
      if (!Pipelines.isReaderIdle(event)) {
        return;
      }
      if (++silentProbes >= SILENT_PROBES) {
        context.close();
      } else {
        Ping ping = Ping.newBuilder().setToken(silentProbes).build();
        context.writeAndFlush(Envelope.newBuilder().setPing(ping).build(), context.voidPromise());
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      lost(context.channel());
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }
  }
}
