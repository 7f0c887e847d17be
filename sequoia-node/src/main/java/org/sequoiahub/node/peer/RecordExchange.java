package org.sequoiahub.node.peer;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.sequoiahub.node.store.StoreRegistry;
import org.sequoiahub.runtime.settings.Endpoint;
import org.sequoiahub.schema.peer.StorePull;
import org.sequoiahub.schema.peer.StoreRecords;
import org.sequoiahub.schema.peer.StoredEntry;
import org.sequoiahub.schema.wire.Envelope;
import org.sequoiahub.usersplatform.StoredItem;
import org.sequoiahub.wire.CallListener;
import org.sequoiahub.wire.WireClient;
import org.sequoiahub.wire.WireClients;

/**
 * Takes from other hosts what they read from the store and this host could not.
 *
 * <p>The store can be out of reach of one host and serve the others; a change must be in force here
 * all the same.
 */
public final class RecordExchange {

  /** A pull is not repeated sooner (ms). */
  private static final long PERIOD_MILLIS = 150;

  private final WireClients clients;
  private final int peerPort;
  private final Consumer<List<StoredItem>> received;
  private long pulledMillis = Long.MIN_VALUE / 2;

  /**
   * Creates an exchange.
   *
   * @param received receives what another host passed on, on a network thread
   */
  public RecordExchange(WireClients clients, int peerPort, Consumer<List<StoredItem>> received) {
    this.clients = clients;
    this.peerPort = peerPort;
    this.received = received;
  }

  /** Asks a host for the records that are newer than these revisions. */
  public void pull(String ip, long operatorRevision, long runnersRevision, long nowMillis) {
    if (nowMillis - pulledMillis < PERIOD_MILLIS) {
      return;
    }
    pulledMillis = nowMillis;
    WireClient client = clients.to(new Endpoint(ip, peerPort));
    StorePull pull =
        StorePull.newBuilder()
            .setConfigRevision(operatorRevision)
            .setRunnersRevision(runnersRevision)
            .build();
    client.call(
        Envelope.newBuilder().setStorePull(pull),
        new CallListener() {
          @Override
          public void message(Envelope message) {
            if (message.hasStoreRecords()) {
              received.accept(decoded(message.getStoreRecords()));
            }
          }

          @Override
          public void lost(boolean handedOn) {
            // The next state of any host that is ahead leads to the next pull.
          }
        });
  }

  /** Answers another host's pull. */
  public static Envelope.Builder answer(StorePull pull, StoreRegistry store) {
    StoreRecords.Builder records = StoreRecords.newBuilder();
    store.operatorSince(pull.getConfigRevision()).forEach(item -> records.addVersions(entry(item)));
    store.runnersSince(pull.getRunnersRevision()).forEach(item -> records.addRunners(entry(item)));
    return Envelope.newBuilder().setStoreRecords(records);
  }

  private static StoredEntry.Builder entry(StoredItem item) {
    StoredEntry.Builder entry =
        StoredEntry.newBuilder().setKey(item.key()).setRevision(item.revision());
    byte @Nullable [] value = item.value();
    if (value != null) {
      entry.setValue(ByteString.copyFrom(value));
    }
    return entry;
  }

  private static List<StoredItem> decoded(StoreRecords records) {
    List<StoredItem> items = new ArrayList<>();
    List<StoredEntry> entries = new ArrayList<>(records.getVersionsList());
    entries.addAll(records.getRunnersList());
    for (StoredEntry entry : entries) {
      byte @Nullable [] value = entry.getValue().isEmpty() ? null : entry.getValue().toByteArray();
      items.add(new StoredItem(entry.getKey(), entry.getRevision(), value));
    }
    return items;
  }
}
