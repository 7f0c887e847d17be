package org.sequoiahub.node.reach;

import com.google.common.net.HostAndPort;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.util.function.Consumer;
import org.sequoiahub.core.upstream.RunnerEntry;
import org.sequoiahub.node.upstream.RunnerAddressResolver;

/** Opens a connection to a runner and closes it again. */
@FunctionalInterface
public interface ConnectProber {

  /** Probes a runner; {@code result} gets whether it accepted the connection, on any thread. */
  void probe(RunnerEntry runner, Consumer<Boolean> result);

  /**
   * Returns a prober.
   *
   * @param timeoutMillis the time after which a connect has failed (ms)
   */
  static ConnectProber over(
      EventLoopGroup group, RunnerAddressResolver addresses, int timeoutMillis) {
    Bootstrap bootstrap =
        new Bootstrap()
            .group(group)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timeoutMillis)
            .handler(new EmptyPipeline());
    return (runner, result) ->
        bootstrap
            .connect(addresses.resolve(socketAddress(runner)))
            .addListener(
                (ChannelFuture connected) -> {
                  result.accept(connected.isSuccess());
                  if (connected.isSuccess()) {
                    connected.channel().close();
                  }
                });
  }

  /** Leaves the pipeline of a channel empty: nothing is read or written. */
  final class EmptyPipeline extends ChannelInitializer<Channel> {
    @Override
    protected void initChannel(Channel channel) {
      // No handler is needed.
    }
  }

  private static InetSocketAddress socketAddress(RunnerEntry runner) {
    HostAndPort address = HostAndPort.fromString(runner.address());
    return new InetSocketAddress(address.getHost(), address.getPort());
  }
}
