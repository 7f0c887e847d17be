package org.sequoiahub.node.peer;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.IOException;
import java.security.SecureRandom;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.sequoiahub.core.store.StorePosition;
import org.sequoiahub.core.upstream.RunnerEntry;
import org.sequoiahub.core.upstream.RunnerRegistry;
import org.sequoiahub.core.workspace.KeyHasher;
import org.sequoiahub.node.store.StoreRegistry;
import org.sequoiahub.runtime.log.EventLog;
import org.sequoiahub.schema.peer.StorePull;
import org.sequoiahub.usersplatform.RecordDecoder;
import org.sequoiahub.usersplatform.SampleRecords;
import org.sequoiahub.usersplatform.StoreKeys;
import org.sequoiahub.usersplatform.StoredItem;
import org.sequoiahub.usersplatform.standin.StandinRunner;

/** Guards against hosts that never agree on what the restored store lacks, or lose it. */
class KeptRecordsExchangeTest {

  private static final StorePosition BEFORE = new StorePosition(1, 70);
  private static final StorePosition RESTORED = new StorePosition(2, 45);
  private static final long RESTORED_MILLIS = 20_000;
  private static final long PULL_MILLIS = 150;

  private final Host first = new Host("first");
  private final Host second = new Host("second");

  /** The records of a host, without its followers. */
  private static final class Host {
    final RunnerRegistry runners = new RunnerRegistry();
    final StoreRegistry store;

    Host(String name) {
      store =
          new StoreRegistry(
              new RecordDecoder(KeyHasher.withRandomSecret(new SecureRandom())),
              runners,
              table -> {},
              () -> {},
              new EventLog("test", name));
    }

    void read(StorePosition at, long nowMillis, StoredItem configuration, StoredItem... entries) {
      store.snapshot(StoreKeys.OPERATOR_PREFIX, List.of(configuration), at, nowMillis, nowMillis);
      store.snapshot(StoreKeys.RUNNER_PREFIX, List.of(entries), at, nowMillis, nowMillis);
    }

    /** Pulls from another host and applies its answer, as RecordSync does. */
    void pull(Host other, long nowMillis) throws IOException {
      StorePull pull =
          StorePull.newBuilder()
              .setOperatorsEra(store.operatorsCompleteTo().era())
              .setOperatorsCompleteTo(store.operatorsCompleteTo().revision())
              .setRunnersEra(store.runnersCompleteTo().era())
              .setRunnersCompleteTo(store.runnersCompleteTo().revision())
              .build();
      PulledRecords records =
          PulledRecords.decode(
              "", RecordExchange.answerPull(pull, other.store, new DeflatedValues(), nowMillis));
      records.items().forEach(item -> store.applyFromPeer(item, nowMillis));
      store.completeTo(records.operatorsCompleteTo(), records.runnersCompleteTo(), nowMillis);
      records.kept().forEach(item -> store.applyKept(item, nowMillis));
    }

    RunnerEntry runner(String id) {
      return runners.find(id).orElseThrow();
    }
  }

  private static StoredItem configuration(int version, StorePosition at) throws Exception {
    byte[] sample = SampleRecords.records("127.0.0.1:1").get(0).value();
    String json = new String(sample, UTF_8).replace("\"version\":7", "\"version\":" + version);
    return new StoredItem(StoreKeys.CONFIGURATION, at, json.getBytes(UTF_8));
  }

  private static StoredItem entry(int number, String state, long sequence, StorePosition at) {
    String json = StandinRunner.entryOf("llm", "127.0.0.1:" + number, state, 1_000, sequence);
    return new StoredItem(StoreKeys.RUNNER_PREFIX + "i-" + number, at, json.getBytes(UTF_8));
  }

  private static StoredItem at(StoredItem item, long revision) {
    return new StoredItem(item.key(), new StorePosition(2, revision), item.value());
  }

  private void readBefore(Host host) throws Exception {
    host.read(
        BEFORE,
        0,
        configuration(9, new StorePosition(1, 69)),
        entry(1, "draining", 5, new StorePosition(1, 68)),
        entry(2, "ready", 5, new StorePosition(1, 67)));
  }

  /** The copy has an older configuration and no entry of the runner that leaves. */
  private void readRestored(Host host, long nowMillis) throws Exception {
    host.read(
        RESTORED,
        nowMillis,
        configuration(7, new StorePosition(2, 20)),
        entry(2, "ready", 3, new StorePosition(2, 30)));
  }

  @Test
  void hostsAgreeIfOneReadsTheStoreAfterItHasPulled() throws Exception {
    readBefore(first);
    readBefore(second);
    readRestored(first, RESTORED_MILLIS);
    second.pull(first, RESTORED_MILLIS + 10);
    readRestored(second, RESTORED_MILLIS + 20);
    second.pull(first, RESTORED_MILLIS + PULL_MILLIS);
    first.pull(second, RESTORED_MILLIS + PULL_MILLIS);
    assertThat(second.store.keptChecksum()).isEqualTo(first.store.keptChecksum());
  }

  @Test
  void hostsThatAreOnlyToldOfTheRestoredStoreAgree() throws Exception {
    readBefore(first);
    readBefore(second);
    readRestored(first, RESTORED_MILLIS);
    second.pull(first, RESTORED_MILLIS + 10);
    second.pull(first, RESTORED_MILLIS + PULL_MILLIS);
    assertThat(second.store.keptChecksum()).isEqualTo(first.store.keptChecksum());
  }

  @Test
  void hostThatStartsLaterHearsOfTheLostChangesFromOneThatHadPulled() throws Exception {
    readBefore(first);
    readBefore(second);
    readRestored(first, RESTORED_MILLIS);
    second.pull(first, RESTORED_MILLIS + 10);
    readRestored(second, RESTORED_MILLIS + 20);
    Host third = new Host("third");
    readRestored(third, RESTORED_MILLIS + 5_000);
    third.pull(second, RESTORED_MILLIS + 5_000);
    assertThat(second.store.status().version()).isEqualTo(9);
    assertThat(third.store.status().version()).isEqualTo(9);
    assertThat(third.runners.find("i-1").map(RunnerEntry::leaving)).hasValue(true);
  }

  @Test
  void hostsAgreeIfOneMissesTheRemovalOfLeavingRunner() throws Exception {
    StoredItem configuration = configuration(9, new StorePosition(2, 40));
    for (Host host : List.of(first, second)) {
      readBefore(host);
      host.read(
          RESTORED,
          RESTORED_MILLIS,
          configuration,
          entry(1, "ready", 4, new StorePosition(2, 31)),
          entry(2, "ready", 5, new StorePosition(2, 30)));
    }
    assertThat(first.store.keptChecksum()).isNotEqualTo(0);
    assertThat(second.store.keptChecksum()).isEqualTo(first.store.keptChecksum());
    StorePosition removed = new StorePosition(2, 50);
    first.store.changes(
        StoreKeys.RUNNER_PREFIX,
        List.of(new StoredItem(StoreKeys.RUNNER_PREFIX + "i-1", removed, null)),
        removed,
        RESTORED_MILLIS + 3_000,
        RESTORED_MILLIS + 3_000);
    second.read(
        removed,
        RESTORED_MILLIS + 3_000,
        configuration,
        entry(2, "ready", 5, new StorePosition(2, 30)));
    first.pull(second, RESTORED_MILLIS + 3_200);
    second.pull(first, RESTORED_MILLIS + 3_200);
    assertThat(second.store.keptChecksum()).isEqualTo(first.store.keptChecksum());
  }

  /** The copy has no entry of a runner that is at work. */
  @Test
  void runnerWhoseEntryWasLostHasNotTerminatedAtHostsThatHeardOfIt() throws Exception {
    Host third = new Host("third");
    StoredItem lost = entry(3, "ready", 5, new StorePosition(1, 66));
    StoredItem configuration = configuration(9, new StorePosition(1, 69));
    StoredItem present = entry(2, "ready", 5, new StorePosition(1, 67));
    for (Host host : List.of(first, second, third)) {
      host.read(BEFORE, 0, configuration, lost, present);
    }
    first.read(RESTORED, RESTORED_MILLIS, at(configuration, 40), at(present, 30));
    second.pull(first, RESTORED_MILLIS + 10);
    second.read(RESTORED, RESTORED_MILLIS + 20, at(configuration, 40), at(present, 30));
    third.pull(second, RESTORED_MILLIS + 30);
    for (Host host : List.of(first, second, third)) {
      assertThat(host.runners.usable(RESTORED_MILLIS + 1_500)).contains(host.runner("i-3"));
      assertThat(host.runners.hasTerminated(host.runner("i-3").idHash())).isFalse();
    }
  }
}
