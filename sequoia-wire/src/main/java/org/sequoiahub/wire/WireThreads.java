package org.sequoiahub.wire;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;

/** Creates the network threads of a process. */
public final class WireThreads {

  private WireThreads() {}

  /** Returns a group of one network thread, which serves all connections of a process. */
  public static EventLoopGroup singleThread(String name) {
    return new MultiThreadIoEventLoopGroup(
        1, new DefaultThreadFactory(name, true), NioIoHandler.newFactory());
  }
}
