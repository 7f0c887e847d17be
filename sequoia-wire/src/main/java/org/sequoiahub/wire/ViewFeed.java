package org.sequoiahub.wire;

import static java.util.Objects.requireNonNull;

import java.util.function.Consumer;
import org.sequoiahub.schema.wire.Envelope;
import org.sequoiahub.schema.wire.Subscribe;
import org.sequoiahub.schema.wire.Update;

/**
 * Keeps a process subscribed to its host's watcher.
 *
 * <p>While the watcher is unreachable, the process continues with its last view; {@link #tick}
 * renews the subscription.
 */
public final class ViewFeed {

  private static final long RETRY_MILLIS = 300;

  private final WireClient watcher;
  private final boolean hostsOnly;
  private final Consumer<Update> updates;
  private long nextAttemptMillis = Long.MIN_VALUE;
  private boolean subscribed;

  /**
   * Creates a feed.
   *
   * @param watcher the client of this host's watcher
   * @param hostsOnly whether to subscribe to the host list only, without records
   * @param updates receives each update on a network thread
   */
  public ViewFeed(WireClient watcher, boolean hostsOnly, Consumer<Update> updates) {
    this.watcher = requireNonNull(watcher, "watcher must not be null");
    this.hostsOnly = hostsOnly;
    this.updates = requireNonNull(updates, "updates must not be null");
  }

  /** Subscribes unless subscribed already or an attempt was made recently. */
  public void tick(long nowMillis) {
    synchronized (this) {
      if (subscribed || nowMillis < nextAttemptMillis) {
        return;
      }
      subscribed = true;
      nextAttemptMillis = nowMillis + RETRY_MILLIS;
    }
    Subscribe subscribe = Subscribe.newBuilder().setHostsOnly(hostsOnly).build();
    watcher.call(Envelope.newBuilder().setSubscribe(subscribe), new Listener());
  }

  private synchronized void unsubscribed() {
    subscribed = false;
  }

  private final class Listener implements CallListener {
    @Override
    public void onMessage(Envelope message) {
      if (message.hasUpdate()) {
        updates.accept(message.getUpdate());
      }
    }

    @Override
    public void onConnectionLost(boolean possiblySent) {
      unsubscribed();
    }
  }
}
