package org.sequoiahub.core.config;

import static com.google.common.truth.Truth.assertWithMessage;
import static java.nio.charset.StandardCharsets.UTF_8;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.ObjIntConsumer;
import java.util.stream.Collectors;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.state.Action;
import net.jqwik.api.state.ActionChain;
import net.jqwik.api.state.ActionChainArbitrary;
import net.jqwik.api.state.Transformer;
import org.sequoiahub.core.record.DefaultRecordParser;

/** Events that the watcher properties interleave, and the simulation that they act on. */
public final class WatchersActions {

  private WatchersActions() {}

  /** Returns random chains of events. */
  public static ActionChainArbitrary<?> chains() {
    return ActionChain.startWith(Watchers::new)
        .withAction(4, event("write", 11, Watchers::write))
        .withAction(1, event("writeBad", 3, (w, n) -> w.writeBad(n)))
        .withAction(1, event("delete", 3, Watchers::delete))
        .withAction(4, event("watch", 2, (w, n) -> w.read(n, w.newest(), false)))
        .withAction(2, event("list", 2, (w, n) -> w.read(n, w.newest(), true)))
        .withAction(3, event("staleWatch", 60, (w, n) -> w.read(n % 3, n, false)))
        .withAction(2, event("staleList", 60, (w, n) -> w.read(n % 3, n, true)))
        .withAction(4, event("exchange", 5, Watchers::exchange))
        .withAction(1, event("restart", 2, Watchers::restart))
        .withMaxTransformations(80);
  }

  /** Ends the faults and verifies that all watchers converge. */
  public static void finish(Object simulation) {
    ((Watchers) simulation).convergeAndCompare();
  }

  private static Action<Watchers> event(String label, int max, ObjIntConsumer<Watchers> action) {
    return new Event(
        Arbitraries.integers()
            .between(0, max)
            .map(n -> Transformer.mutate(label + "(" + n + ")", w -> action.accept(w, n))));
  }

  private record Event(Arbitrary<Transformer<Watchers>> events)
      implements Action.Independent<Watchers> {
    @Override
    public Arbitrary<Transformer<Watchers>> transformer() {
      return events;
    }
  }

  /** Simulates three watchers and a service that keeps every earlier replica of its records. */
  static final class Watchers {
    private static final int COUNT = 3;
    private final List<AcceptedRecords> watchers = new ArrayList<>();
    private final List<Map<String, Long>> highestSeen = new ArrayList<>();
    private final List<Map<String, StoredRecord>> replicas = new ArrayList<>();

    Watchers() {
      for (int i = 0; i < COUNT; i++) {
        watchers.add(
            new AcceptedRecords(new DefaultRecordParser(), AcceptedRecords.Retention.VALUES));
        highestSeen.add(new HashMap<>());
      }
      replicas.add(Map.of());
    }

    int newest() {
      return replicas.size() - 1;
    }

    void write(int n) {
      String name = "a" + n % 4;
      put(
          name,
          "{\"schema\":1,\"adapter\":\""
              + name
              + "\",\"version\":\""
              + n
              + "\",\"base_model\":\"m\"}");
    }

    void writeBad(int n) {
      put("a" + n, "{\"schema\":9}");
    }

    void delete(int n) {
      store(new StoredRecord("adapters/a" + n, replicas.size(), true, new byte[0]));
    }

    void read(int watcher, int replica, boolean complete) {
      int at = Math.min(replica, newest());
      Map<String, StoredRecord> records = replicas.get(at);
      AcceptedRecords target = watchers.get(watcher);
      records.values().stream().filter(r -> !(complete && r.deleted())).forEach(target::offer);
      if (complete) {
        Set<String> listed =
            records.values().stream()
                .filter(r -> !r.deleted())
                .map(StoredRecord::key)
                .collect(Collectors.toSet());
        target.tombstonesForUnlisted(listed, at).forEach(target::offer);
      }
      check();
    }

    void exchange(int n) {
      int from = n % COUNT;
      int to = (from + 1 + n / COUNT) % COUNT;
      Map<String, Long> held =
          watchers.get(from).revisionsInDifferingBuckets(watchers.get(to).digest());
      for (String key : watchers.get(to).missingOrOutdatedKeys(held)) {
        watchers.get(from).stored(key).ifPresent(watchers.get(to)::offer);
      }
      check();
    }

    void restart(int n) {
      watchers.set(
          n, new AcceptedRecords(new DefaultRecordParser(), AcceptedRecords.Retention.VALUES));
      highestSeen.get(n).clear();
    }

    /** Runs the exchanges of a few seconds; then every watcher must hold the newest revisions. */
    void convergeAndCompare() {
      Map<String, Long> newestRevisions = new TreeMap<>();
      each(w -> w.all().forEach(r -> newestRevisions.merge(r.key(), r.revision(), Math::max)));
      for (int round = 0; round < 2; round++) {
        for (int n = 0; n < 2 * COUNT; n++) {
          exchange(n);
        }
      }
      each(
          w -> {
            Map<String, Long> held = new TreeMap<>();
            w.all().forEach(r -> held.put(r.key(), r.revision()));
            assertWithMessage("records in force on each watcher")
                .that(held)
                .isEqualTo(newestRevisions);
          });
    }

    private void each(Consumer<AcceptedRecords> action) {
      watchers.forEach(action);
    }

    private void check() {
      for (int i = 0; i < COUNT; i++) {
        for (StoredRecord record : watchers.get(i).all()) {
          long before = highestSeen.get(i).getOrDefault(record.key(), 0L);
          assertWithMessage("watcher %s reverted to an older revision of %s", i, record.key())
              .that(record.revision())
              .isAtLeast(before);
          highestSeen.get(i).put(record.key(), record.revision());
        }
        for (String key : highestSeen.get(i).keySet()) {
          assertWithMessage("watcher %s lost %s", i, key)
              .that(watchers.get(i).stored(key).isPresent())
              .isTrue();
        }
      }
    }

    private void put(String name, String json) {
      store(new StoredRecord("adapters/" + name, replicas.size(), false, json.getBytes(UTF_8)));
    }

    private void store(StoredRecord record) {
      Map<String, StoredRecord> next = new TreeMap<>(replicas.get(newest()));
      next.put(record.key(), record);
      replicas.add(next);
    }
  }
}
