package org.sequoiahub.wire;

import io.netty.channel.EventLoopGroup;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.sequoiahub.runtime.settings.Endpoint;

/** The clients of a process, one per remote process. */
public final class WireClients implements AutoCloseable {

  private final EventLoopGroup group;
  private final long idleTimeoutMillis;
  private final Map<Endpoint, WireClient> clients = new HashMap<>();

  /** Creates an empty set; its clients share {@code group} and the idle timeout. */
  public WireClients(EventLoopGroup group, long idleTimeoutMillis) {
    this.group = group;
    this.idleTimeoutMillis = idleTimeoutMillis;
  }

  /** Returns the client of {@code endpoint}, created if absent. */
  public synchronized WireClient clientOf(Endpoint endpoint) {
    return clients.computeIfAbsent(endpoint, e -> new WireClient(group, e, idleTimeoutMillis));
  }

  /** Closes and removes the clients whose endpoints are not in {@code endpoints}. */
  public synchronized void retain(Set<Endpoint> endpoints) {
    clients
        .entrySet()
        .removeIf(
            entry -> {
              boolean gone = !endpoints.contains(entry.getKey());
              if (gone) {
                entry.getValue().close();
              }
              return gone;
            });
  }

  @Override
  public synchronized void close() {
    clients.values().forEach(WireClient::close);
  }
}
