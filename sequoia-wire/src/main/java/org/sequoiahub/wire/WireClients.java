package org.sequoiahub.wire;

import io.netty.channel.EventLoopGroup;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.sequoiahub.runtime.settings.Endpoint;

/** The clients of one process, one for each process that it talks to. */
public final class WireClients implements AutoCloseable {

  private final EventLoopGroup group;
  private final long silenceMillis;
  private final Map<Endpoint, WireClient> clients = new HashMap<>();

  /** Creates an empty set whose clients share {@code group}. */
  public WireClients(EventLoopGroup group, long silenceMillis) {
    this.group = group;
    this.silenceMillis = silenceMillis;
  }

  /** Returns the client of {@code endpoint}. */
  public synchronized WireClient clientOf(Endpoint endpoint) {
    return clients.computeIfAbsent(endpoint, e -> new WireClient(group, e, silenceMillis));
  }

  /** Closes the clients of processes that are no longer in the host list. */
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
