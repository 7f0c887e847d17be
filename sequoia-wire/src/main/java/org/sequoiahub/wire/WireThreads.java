package org.sequoiahub.wire;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;

/** Creates the network threads of a process. */
public final class WireThreads {

  private WireThreads() {}

  /** Returns one network thread, which carries all connections of a process. */
  public static EventLoopGroup singleThread(String name) {
    return new MultiThreadIoEventLoopGroup(
        1, new DefaultThreadFactory(name, true), NioIoHandler.newFactory());
  }
}
