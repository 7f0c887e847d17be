package org.sequoiahub.node.peer;

import com.google.protobuf.ByteString;
import java.util.HashMap;
import java.util.Map;
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
  private static final long MIN_PULL_INTERVAL_MILLIS = 150;

  /**
   * A host that owes an answer is passed over for so long (ms): its connection may be silent for
   * good, and others can be asked.
   */
  private static final long RESPONSE_TIMEOUT_MILLIS = 1_000;

  private final PeerCalls calls;
  private final Consumer<PulledRecords> recordsListener;
  private final Map<String, Long> pendingSinceMillis = new HashMap<>();
  private long lastPullMillis = Long.MIN_VALUE / 2;

  /** Asks other hosts for records. */
  @FunctionalInterface
  public interface PeerCalls {
    /** Sends a pull to the host with an IP number; the answer comes on any thread, or never. */
    void pull(String ip, StorePull pull, Consumer<StoreRecords> answer);
  }

  /**
   * Creates an exchange.
   *
   * @param received receives what another host passed on, on the thread of its answer
   */
  public RecordExchange(PeerCalls calls, Consumer<PulledRecords> received) {
    this.calls = calls;
    this.recordsListener = received;
  }

  /** Returns calls over connections to the hosts' ports for peers. */
  public static PeerCalls callsOver(WireClients clients, int peerPort) {
    return (ip, pull, answer) -> {
      WireClient client = clients.to(new Endpoint(ip, peerPort));
      client.call(
          Envelope.newBuilder().setStorePull(pull),
          new CallListener() {
            @Override
            public void message(Envelope message) {
              client.end(message.getCall());
              if (message.hasStoreRecords()) {
                answer.accept(message.getStoreRecords());
              }
            }

            @Override
            public void lost(boolean handedOn) {
              // The next state of any host that is ahead leads to the next pull.
            }
          });
    };
  }

  /**
   * Asks a host for the records that are newer than these revisions; nothing if that is too soon
   * after the last pull, or if the host still owes an answer.
   */
  public void pull(String ip, long operatorsCompleteTo, long runnersCompleteTo, long nowMillis) {
    Long unanswered = pendingSinceMillis.get(ip);
    if (nowMillis - lastPullMillis < MIN_PULL_INTERVAL_MILLIS
        || (unanswered != null && nowMillis - unanswered < RESPONSE_TIMEOUT_MILLIS)) {
      return;
    }
    lastPullMillis = nowMillis;
    pendingSinceMillis.put(ip, nowMillis);
    StorePull pull =
        StorePull.newBuilder()
            .setOperatorsCompleteTo(operatorsCompleteTo)
            .setRunnersCompleteTo(runnersCompleteTo)
            .build();
    calls.pull(ip, pull, records -> recordsListener.accept(PulledRecords.decode(ip, records)));
  }

  /** Records that a host has answered. */
  public void answered(String ip) {
    pendingSinceMillis.remove(ip);
  }

  /** Answers another host's pull. */
  public static StoreRecords answerPull(StorePull pull, StoreRegistry store, long nowMillis) {
    StoreRecords.Builder records =
        StoreRecords.newBuilder()
            .setOperatorsCompleteTo(store.operatorsCompleteTo())
            .setRunnersCompleteTo(store.runnersCompleteTo())
            .setConfirmedMsAgo(nowMillis - store.status().confirmedMillis());
    store
        .operatorRecordsSince(pull.getOperatorsCompleteTo())
        .forEach(item -> records.addOperators(entry(item)));
    store
        .runnerRecordsSince(pull.getRunnersCompleteTo())
        .forEach(item -> records.addRunners(entry(item)));
    return records.build();
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
}
