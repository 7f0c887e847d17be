package org.sequoiahub.node.upstream;

import java.net.InetSocketAddress;

/** Determines the socket address that connections to a runner are opened to. */
@FunctionalInterface
public interface RunnerAddressResolver {

  /** Connects to the address in the runner's entry. */
  RunnerAddressResolver DIRECT = address -> address;

  /** Returns the address to connect to, given the one in the runner's entry. */
  InetSocketAddress resolve(InetSocketAddress address);
}
