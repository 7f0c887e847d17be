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
  private static final long PERIOD_MILLIS = 150;

  /**
   * A host that owes an answer is passed over for so long (ms): its connection may be silent for
   * good, and others can be asked.
   */
  private static final long SILENCE_MILLIS = 1_000;

  private final PeerCalls calls;
  private final Consumer<PulledRecords> received;
  private final Map<String, Long> unansweredMillis = new HashMap<>();
  private long pulledMillis = Long.MIN_VALUE / 2;

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
    this.received = received;
  }

  /** Returns calls over connections to the hosts' ports for peers. */
  public static PeerCalls over(WireClients clients, int peerPort) {
    return (ip, pull, answer) -> {
      WireClient client = clients.clientOf(new Endpoint(ip, peerPort));
      client.call(
          Envelope.newBuilder().setStorePull(pull),
          new CallListener() {
            @Override
            public void onMessage(Envelope message) {
              client.endCall(message.getCall());
              if (message.hasStoreRecords()) {
                answer.accept(message.getStoreRecords());
              }
            }

            @Override
            public void onConnectionLost(boolean handedOn) {
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
    Long unanswered = unansweredMillis.get(ip);
    if (nowMillis - pulledMillis < PERIOD_MILLIS
        || (unanswered != null && nowMillis - unanswered < SILENCE_MILLIS)) {
      return;
    }
    pulledMillis = nowMillis;
    unansweredMillis.put(ip, nowMillis);
    StorePull pull =
        StorePull.newBuilder()
            .setOperatorsCompleteTo(operatorsCompleteTo)
            .setRunnersCompleteTo(runnersCompleteTo)
            .build();
    calls.pull(ip, pull, records -> received.accept(PulledRecords.decode(ip, records)));
  }

  /** Records that a host has answered. */
  public void answered(String ip) {
    unansweredMillis.remove(ip);
  }

  /** Answers another host's pull. */
  public static StoreRecords answer(StorePull pull, StoreRegistry store, long nowMillis) {
    StoreRecords.Builder records =
        StoreRecords.newBuilder()
            .setOperatorsCompleteTo(store.operatorsCompleteTo())
            .setRunnersCompleteTo(store.runnersCompleteTo())
            .setConfirmedMsAgo(nowMillis - store.status().confirmedMillis());
    store
        .operatorSince(pull.getOperatorsCompleteTo())
        .forEach(item -> records.addOperators(entry(item)));
    store
        .runnersSince(pull.getRunnersCompleteTo())
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
