package org.sequoiahub.node;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.sequoiahub.usersplatform.standin.StandinRunner;
import org.sequoiahub.usersplatform.standin.StandinStore;

/** Guards against hosts that drop or revert changes after the store was restored from a copy. */
@Timeout(value = 120, unit = TimeUnit.SECONDS)
class StoreRestoredTest {

  private static final int HOSTS = 3;
  private static final int REQUESTS = 60;
  private static final int PERIOD_MILLIS = 15;

  /** The users' bound for changes of the configuration and for runners that leave (ms). */
  private static final long BOUND_MILLIS = 2_000;

  /** Changes that a copy lacks. */
  private static final int LOST_CHANGES = 30;

  private static final int AWAY_MILLIS = 400;

  private LoopbackFleet fleet;
  private StandinRunner runner;
  private StandinRunner other;
  private int requests;

  @BeforeEach
  void open() throws Exception {
    fleet = new LoopbackFleet();
    fleet.configure(route("/a/"));
    runner = fleet.startRunner("i-1", "plain", "");
    other = fleet.startRunner("i-2", "plain", "");
    fleet.startNodes(HOSTS);
  }

  @AfterEach
  void close() throws Exception {
    fleet.close();
  }

  private static String route(String prefix) {
    return LoopbackFleet.route(prefix, "safe", "plain", false);
  }

  /** Lets the runners report to the store, which raises its revision. */
  private void report(int times) {
    for (int i = 0; i < times; i++) {
      fleet.publish(i % 2 == 0 ? runner : other, "ready");
    }
  }

  private void awaitServed(String prefix) throws InterruptedException {
    for (int host = 1; host <= HOSTS; host++) {
      int number = host;
      LoopbackFleet.await(prefix + " at host " + host, () -> status(number, prefix) == 200);
    }
  }

  private int status(int host, String prefix) {
    try {
      requests++;
      return fleet.request(host, prefix + requests, "r-" + requests).send().getStatus();
    } catch (Exception e) {
      throw new AssertionError(e);
    }
  }

  /** Sends requests to all hosts in turn and returns the number of responses by status. */
  private Map<Integer, Integer> statuses(String prefix) throws InterruptedException {
    Map<Integer, Integer> counts = new HashMap<>();
    for (int i = 0; i < REQUESTS; i++) {
      counts.merge(status(1 + i % HOSTS, prefix), 1, Integer::sum);
      Thread.sleep(PERIOD_MILLIS);
    }
    return counts;
  }

  private void assertServedEverywhere(String prefix) throws InterruptedException {
    Thread.sleep(BOUND_MILLIS);
    assertWithMessage("responses on %s by status", prefix)
        .that(statuses(prefix))
        .containsExactly(200, REQUESTS);
  }

  private void assertUnused(StandinRunner left) throws InterruptedException {
    long before = runs(left);
    statuses("/a/");
    assertWithMessage("requests sent to the leaving runner").that(runs(left) - before).isEqualTo(0);
  }

  private static long runs(StandinRunner runner) {
    return runner.runs().values().stream().mapToLong(count -> count.get()).sum();
  }

  @Test
  void configurationWrittenAfterwardsIsServed() throws Exception {
    final StandinStore.Copy copy = fleet.store.copy();
    report(LOST_CHANGES);
    fleet.configure(route("/a/"), route("/b/"));
    awaitServed("/b/");
    fleet.store.restore(copy);
    fleet.configure(route("/a/"), route("/b/"), route("/c/"));
    assertServedEverywhere("/c/");
  }

  @Test
  void configurationWrittenWhileTheStoreWasAwayIsServed() throws Exception {
    final StandinStore.Copy copy = fleet.store.copy();
    fleet.configure(route("/a/"), route("/b/"));
    report(LOST_CHANGES);
    awaitServed("/b/");
    final long revision = fleet.store.revision();
    fleet.store.setDown(true);
    fleet.store.restore(copy);
    // Its revision is above that of the configuration known, and below that of the last answer.
    report(LOST_CHANGES / 2);
    fleet.configure(route("/a/"), route("/b/"), route("/c/"));
    while (fleet.store.revision() <= revision) {
      report(1);
    }
    Thread.sleep(AWAY_MILLIS);
    fleet.store.setDown(false);
    assertServedEverywhere("/c/");
  }

  @Test
  void configurationBetweenTwoRestoresIsServed() throws Exception {
    final StandinStore.Copy first = fleet.store.copy();
    report(LOST_CHANGES);
    fleet.configure(route("/a/"), route("/b/"));
    awaitServed("/b/");
    fleet.store.restore(first);
    report(4);
    final StandinStore.Copy second = fleet.store.copy();
    fleet.configure(route("/a/"), route("/b/"), route("/c/"));
    report(4);
    Thread.sleep(AWAY_MILLIS);
    List<StandinStore.LostWrite> lost = new ArrayList<>(fleet.store.restore(second));
    Collections.reverse(lost);
    lost.forEach(fleet.store::rewrite);
    assertServedEverywhere("/c/");
  }

  @Test
  void leavingWrittenAgainBelowTheKnownRevisionIsRespected() throws Exception {
    final StandinStore.Copy copy = fleet.store.copy();
    report(LOST_CHANGES);
    fleet.configure(route("/a/"), route("/b/"));
    awaitServed("/b/");
    fleet.store.restore(copy);
    fleet.publish(runner, "draining");
    Thread.sleep(BOUND_MILLIS);
    assertUnused(runner);
  }

  /** Guards against a configuration that an older copy replaces. */
  @Test
  void newerConfigurationThatTheStoreLostStays() throws Exception {
    final StandinStore.Copy copy = fleet.store.copy();
    fleet.configure(route("/a/"), route("/b/"));
    report(LOST_CHANGES);
    awaitServed("/b/");
    fleet.store.restore(copy);
    assertServedEverywhere("/b/");
  }

  /** Guards against a leaving runner that an older copy shows as ready. */
  @Test
  void leavingThatTheStoreLostStays() throws Exception {
    final StandinStore.Copy copy = fleet.store.copy();
    fleet.publish(runner, "draining");
    Thread.sleep(BOUND_MILLIS);
    assertUnused(runner);
    fleet.store.restore(copy);
    Thread.sleep(BOUND_MILLIS);
    assertUnused(runner);
  }
}
