package org.sequoiahub.node.peer;

import com.google.protobuf.ByteString;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;
import org.sequoiahub.core.store.StorePosition;
import org.sequoiahub.node.store.StoreRegistry;
import org.sequoiahub.runtime.log.EventLog;
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
 * Pulls store records from other hosts that this host could not read itself.
 *
 * <p>The store may be unreachable for one host while it serves the others. A change must come into
 * force here nevertheless.
 */
public final class RecordExchange {

  /** Minimum interval between pulls (ms). */
  private static final long MIN_PULL_INTERVAL_MILLIS = 150;

  /**
   * How long a host with a pending pull is skipped (ms). Its connection may stay silent forever,
   * and other hosts can be asked.
   */
  private static final long RESPONSE_TIMEOUT_MILLIS = 1_000;

  private final PeerCalls calls;
  private final Consumer<PulledRecords> recordsListener;
  private final EventLog log;
  private final Map<String, Long> pendingSinceMillis = new HashMap<>();
  private long lastPullMillis = Long.MIN_VALUE / 2;

  /** Sends pulls to other hosts. */
  @FunctionalInterface
  public interface PeerCalls {
    /** Sends a pull to a host's IP address. The answer arrives on any thread, or never. */
    void pull(String ip, StorePull pull, Consumer<StoreRecords> answer);
  }

  /**
   * Creates an exchange.
   *
   * @param recordsListener receives the records that another host returns, on the thread of its
   *     answer
   */
  public RecordExchange(PeerCalls calls, Consumer<PulledRecords> recordsListener, EventLog log) {
    this.calls = calls;
    this.recordsListener = recordsListener;
    this.log = log;
  }

  /** Returns calls over connections to the hosts' peer ports. */
  public static PeerCalls callsOver(WireClients clients, int peerPort) {
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
              // The next state from any host with newer records triggers another pull.
            }
          });
    };
  }

  /**
   * Asks a host for the records that are later than the given positions. Does nothing if the last
   * pull was too recent or if an earlier one to this host is still pending.
   */
  public void pull(
      String ip,
      StorePosition operatorsCompleteTo,
      StorePosition runnersCompleteTo,
      long nowMillis) {
    Long pendingSince = pendingSinceMillis.get(ip);
    if (nowMillis - lastPullMillis < MIN_PULL_INTERVAL_MILLIS
        || (pendingSince != null && nowMillis - pendingSince < RESPONSE_TIMEOUT_MILLIS)) {
      return;
    }
    lastPullMillis = nowMillis;
    pendingSinceMillis.put(ip, nowMillis);
    StorePull pull =
        StorePull.newBuilder()
            .setOperatorsCompleteTo(operatorsCompleteTo.revision())
            .setOperatorsEra(operatorsCompleteTo.era())
            .setRunnersCompleteTo(runnersCompleteTo.revision())
            .setRunnersEra(runnersCompleteTo.era())
            .setAcceptsDeflated(true)
            .build();
    calls.pull(ip, pull, records -> received(ip, records));
  }

  private void received(String ip, StoreRecords records) {
    try {
      recordsListener.accept(PulledRecords.decode(ip, records));
    } catch (IOException e) {
      // The next state from any host with newer records triggers another pull.
      log.warning("peer-records-ignored", "peer", ip, "why", e.getMessage());
    }
  }

  /**
   * Records that a host has answered a pull, so that it may be asked again; without this, it is
   * skipped until the response timeout has passed.
   */
  public void answered(String ip) {
    pendingSinceMillis.remove(ip);
  }

  /**
   * Answers another host's pull.
   *
   * @param deflated deflates values for hosts that accept it
   */
  public static StoreRecords answerPull(
      StorePull pull, StoreRegistry store, DeflatedValues deflated, long nowMillis) {
    Function<StoredItem, StoredEntry.Builder> encoder =
        item -> entry(item, pull.getAcceptsDeflated() ? deflated.of(item) : ByteString.EMPTY);
    StoreRecords.Builder records =
        StoreRecords.newBuilder()
            .setOperatorsCompleteTo(store.operatorsCompleteTo().revision())
            .setOperatorsEra(store.operatorsCompleteTo().era())
            .setRunnersCompleteTo(store.runnersCompleteTo().revision())
            .setRunnersEra(store.runnersCompleteTo().era())
            .setConfirmedMsAgo(nowMillis - store.status().confirmedMillis());
    store
        .operatorRecordsSince(
            StateCodec.decodePosition(pull.getOperatorsEra(), pull.getOperatorsCompleteTo()))
        .forEach(item -> records.addOperators(encoder.apply(item)));
    store
        .runnerRecordsSince(
            StateCodec.decodePosition(pull.getRunnersEra(), pull.getRunnersCompleteTo()))
        .forEach(item -> records.addRunners(encoder.apply(item)));
    store.keptRecords().forEach(item -> records.addKept(encoder.apply(item)));
    return records.build();
  }

  private static StoredEntry.Builder entry(StoredItem item, ByteString deflated) {
    StoredEntry.Builder entry =
        StoredEntry.newBuilder()
            .setKey(item.key())
            .setRevision(item.position().revision())
            .setEra(item.position().era());
    byte @Nullable [] value = item.value();
    if (!deflated.isEmpty()) {
      entry.setDeflatedValue(deflated);
    } else if (value != null) {
      entry.setValue(ByteString.copyFrom(value));
    }
    return entry;
  }
}
