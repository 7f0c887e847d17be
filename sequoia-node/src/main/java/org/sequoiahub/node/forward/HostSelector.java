package org.sequoiahub.node.forward;

import java.util.Optional;
import java.util.Set;

/** Selects a host that reaches the runners, to pass a request on to. */
@FunctionalInterface
public interface HostSelector {

  /**
   * A host that serves requests of others.
   *
   * @param name the host's name
   * @param ip the address of the host's ports
   */
  record Host(String name, String ip) {}

  /** Returns a host that is not excluded; empty if there is none. */
  Optional<Host> select(Set<String> excludedHosts, long nowMillis);
}
