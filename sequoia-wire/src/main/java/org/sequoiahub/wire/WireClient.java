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
 * A client that multiplexes calls over one connection to another process of the system. The
 * connection is opened on demand and reopened after a loss.
 *
 * <p>A connection can become unresponsive while new ones work, and the kernel may take a quarter of
 * an hour to detect it. The client therefore sends a probe after half the idle timeout without a
 * message, and closes the connection after the whole of it; the listeners of its calls are then
 * notified of the loss. As the server closes a connection on which it receives nothing, the client
 * also sends a probe when it has sent nothing for the idle timeout, as during a long response. A
 * connection that no call has used for some probes is closed, and the next call opens another one.
 */
public final class WireClient implements AutoCloseable {

  private static final int IDLE_EVENTS_BEFORE_CLOSE = 2;

  /**
   * Probes after which a connection without calls is closed: every host calls every other one at
   * times, and probes of all these connections would cost more than opening them again.
   */
  private static final int PROBES_BEFORE_RELEASE = 2;

  private static final CallListener NO_REPLY_EXPECTED =
      new CallListener() {
        @Override
        public void onMessage(Envelope message) {}

        @Override
        public void onConnectionLost(boolean possiblySent) {}
      };

  private final EventLoopGroup group;
  private final Endpoint endpoint;
  private final long idleTimeoutMillis;
  private final Map<Long, CallListener> calls = new HashMap<>();
  private final List<Envelope> unsent = new ArrayList<>();
  private long lastCallNumber;
  private @Nullable Channel channel;
  private boolean connecting;
  private boolean closed;

  /**
   * Creates a client; the first call opens its connection.
   *
   * @param group the network threads
   * @param endpoint the address of the other process
   * @param idleTimeoutMillis the time without a message after which the connection is closed
   */
  public WireClient(EventLoopGroup group, Endpoint endpoint, long idleTimeoutMillis) {
    checkArgument(
        idleTimeoutMillis > 0, "idleTimeoutMillis must be above 0, was %s", idleTimeoutMillis);
    this.group = requireNonNull(group, "group must not be null");
    this.endpoint = requireNonNull(endpoint, "endpoint must not be null");
    this.idleTimeoutMillis = idleTimeoutMillis;
  }

  /** Returns the other process's address. */
  public Endpoint endpoint() {
    return endpoint;
  }

  /** Starts a call and returns its number. */
  public long call(Envelope.Builder message, CallListener listener) {
    boolean connect = false;
    boolean accepted;
    long number;
    synchronized (this) {
      number = ++lastCallNumber;
      accepted = !closed;
      if (accepted) {
        if (listener != NO_REPLY_EXPECTED) {
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
    if (!accepted) {
      listener.onConnectionLost(false);
    } else if (connect) {
      connect();
    }
    return number;
  }

  /** Sends a further message of a call; dropped if the call has ended. */
  public synchronized void send(long call, Envelope.Builder message) {
    if (channel != null && calls.containsKey(call)) {
      channel.writeAndFlush(message.setCall(call).build(), channel.voidPromise());
    }
  }

  /** Sends a message that expects no reply. */
  public void sendOneWay(Envelope.Builder message) {
    call(message, NO_REPLY_EXPECTED);
  }

  /** Ends a call: its listener is removed, and messages not yet sent are dropped. */
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
    } else {
      // Nothing was written yet, and connected() writes nothing after this.
      failAllCalls(null);
    }
  }

  private void connect() {
    new Bootstrap()
        .group(group)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) idleTimeoutMillis)
        .handler(
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(Channel child) {
                Pipelines.addCodec(
                    child.pipeline(),
                    Math.max(1, idleTimeoutMillis / IDLE_EVENTS_BEFORE_CLOSE),
                    idleTimeoutMillis);
                child.pipeline().addLast(new Inbound());
              }
            })
        .connect(endpoint.host(), endpoint.port())
        .addListener((ChannelFuture future) -> connected(future));
  }

  private void connected(ChannelFuture future) {
    if (!future.isSuccess()) {
      failAllCalls(null);
      return;
    }
    synchronized (this) {
      if (closed) {
        future.channel().close();
        return;
      }
      connecting = false;
      channel = future.channel();
      for (Envelope message : unsent) {
        channel.write(message, channel.voidPromise());
      }
      unsent.clear();
      channel.flush();
    }
    if (!future.channel().isActive()) {
      connectionLost(future.channel());
    }
  }

  private void connectionLost(Channel lostChannel) {
    failAllCalls(lostChannel);
  }

  /**
   * Ends all calls, unless the connection that they use is another one than {@code lostChannel}.
   *
   * @param lostChannel the connection that was lost; null if there is none yet, so that nothing was
   *     sent
   */
  private void failAllCalls(@Nullable Channel lostChannel) {
    List<CallListener> listeners;
    synchronized (this) {
      if (channel != lostChannel) {
        return;
      }
      channel = null;
      connecting = false;
      unsent.clear();
      listeners = List.copyOf(calls.values());
      calls.clear();
    }
    boolean possiblySent = lostChannel != null;
    listeners.forEach(listener -> listener.onConnectionLost(possiblySent));
  }

  private synchronized @Nullable CallListener listener(long call) {
    return calls.get(call);
  }

  /**
   * Gives a connection up if no call uses it. Later calls open another one, so that none of them
   * can be sent on a connection that is being closed.
   *
   * @return whether the connection may be closed
   */
  private synchronized boolean releaseIfUnused(Channel unused) {
    if (channel != unused || !calls.isEmpty()) {
      return false;
    }
    channel = null;
    return true;
  }

  private final class Inbound extends SimpleChannelInboundHandler<Envelope> {
    private int idleEvents;
    private int unusedEvents;

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
      idleEvents = 0;
      super.channelRead(context, message);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, Envelope message) {
      CallListener listener = listener(message.getCall());
      if (listener != null) {
        unusedEvents = 0;
        listener.onMessage(message);
      }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
      unusedEvents = Pipelines.isReaderIdle(event) ? unusedEvents + 1 : unusedEvents;
      if (unusedEvents > PROBES_BEFORE_RELEASE && releaseIfUnused(context.channel())) {
        context.close();
      } else if (Pipelines.isReaderIdle(event) && ++idleEvents >= IDLE_EVENTS_BEFORE_CLOSE) {
        context.close();
      } else if (Pipelines.isReaderIdle(event) || Pipelines.isWriterIdle(event)) {
        Ping ping = Ping.newBuilder().setToken(idleEvents).build();
        context.writeAndFlush(Envelope.newBuilder().setPing(ping).build(), context.voidPromise());
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      connectionLost(context.channel());
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }
  }
}
