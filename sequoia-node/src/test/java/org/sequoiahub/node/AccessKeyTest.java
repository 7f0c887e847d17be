package org.sequoiahub.node;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.CompletableResponseListener;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.Request;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sequoiahub.usersplatform.Headers;
import org.sequoiahub.usersplatform.standin.StandinConfiguration;
import org.sequoiahub.usersplatform.standin.StandinRunner;

/**
 * Access keys, workspaces and allowances of requests to nodes with a stand-in store and runners.
 */
@Timeout(value = 120, unit = TimeUnit.SECONDS)
class AccessKeyTest {

  private static final String ROUTE = LoopbackFleet.route("/a/", "safe", "plain", false);
  private static final String STREAM = LoopbackFleet.route("/s/", "streaming", "llm", false);
  private static final String OPEN = StandinConfiguration.publicRoute("/open/", "plain");

  private LoopbackFleet fleet;
  private StandinRunner runner;

  @BeforeEach
  void open() throws Exception {
    fleet = new LoopbackFleet();
    configure(List.of("key-one", "key-two"), 0);
    runner = fleet.startRunner("i-1", "plain", "");
    fleet.startNodes(2);
  }

  @AfterEach
  void close() throws Exception {
    fleet.close();
  }

  private void configure(List<String> keys, long tokensPerSecond) {
    fleet.configure(
        List.of(ROUTE, STREAM, OPEN),
        List.of(
            StandinConfiguration.workspace("studio", keys, tokensPerSecond),
            StandinConfiguration.workspace("other", List.of("key-three"), 0)));
  }

  private Request request(int host, String path, String id) {
    return fleet.request(host, path, id);
  }

  private static Request withKey(Request request, String key) {
    return request.headers(headers -> headers.add(Headers.AUTHORIZATION, "Bearer " + key));
  }

  private int statusWithKey(int host, String id, String key) {
    try {
      return withKey(request(host, "/a/x", id), key).send().getStatus();
    } catch (Exception e) {
      return 0;
    }
  }

  /**
   * Guards against serving requests without a valid key and against forwarding callers' keys and
   * forged workspaces to runners. Both happen if the keys of the configuration are not checked and
   * the headers of callers are forwarded unchanged.
   */
  @Nested
  class Requests {
    @Test
    void withKeyRunForItsWorkspaceWithoutForwardingKey() throws Exception {
      Request request = withKey(request(1, "/a/x", "q1"), "key-two");
      request.headers(headers -> headers.add(Headers.WORKSPACE, "other"));
      assertThat(request.send().getStatus()).isEqualTo(200);
      assertThat(runner.callerIdentities().get("q1"))
          .isEqualTo(new StandinRunner.CallerIdentity(List.of("studio"), List.of()));
    }

    @Test
    void withoutValidKeyDoNotRun() throws Exception {
      assertThat(request(1, "/a/x", "q1").send().getStatus()).isEqualTo(401);
      assertThat(statusWithKey(1, "q2", "key-four")).isEqualTo(401);
      assertThat(runner.runs()).isEmpty();
    }

    @Test
    void withTwoKeysDoNotRun() throws Exception {
      Request request = withKey(withKey(request(1, "/a/x", "q1"), "key-one"), "key-three");
      assertThat(request.send().getStatus()).isEqualTo(401);
      assertThat(runner.runs()).isEmpty();
    }

    @ParameterizedTest
    @ValueSource(
        strings = {
          "key-one",
          "Basic key-one",
          "Bearer",
          "Bearer ",
          "Bearer KEY-ONE",
          "Bearer key-one key-one",
          "Bearer key-one, Bearer key-three",
          "Bearer éü"
        })
    void withInvalidKeyAreUnauthorized(String value) throws Exception {
      Request request = request(1, "/a/x", "q1");
      request.headers(headers -> headers.add(Headers.AUTHORIZATION, value));
      assertThat(request.send().getStatus()).isEqualTo(401);
      assertThat(runner.runs()).isEmpty();
    }

    @Test
    void withLongKeyAreUnauthorized() {
      assertThat(statusWithKey(1, "q1", "k".repeat(8_000))).isEqualTo(401);
    }

    @Test
    void onOpenRouteNeedNoKey() throws Exception {
      Request request = withKey(request(1, "/open/x", "q1"), "key-one");
      request.headers(headers -> headers.add(Headers.WORKSPACE, "other"));
      assertThat(request.send().getStatus()).isEqualTo(200);
      assertThat(request(1, "/open/x", "q2").send().getStatus()).isEqualTo(200);
      assertThat(runner.callerIdentities().get("q1"))
          .isEqualTo(new StandinRunner.CallerIdentity(List.of(), List.of()));
    }

    @Test
    void withoutMatchingRouteAreNotFound() throws Exception {
      assertThat(request(1, "/none/x", "q1").send().getStatus()).isEqualTo(404);
    }
  }

  @Nested
  class Withdrawal {
    /**
     * Guards against hosts that still accept a withdrawn key because they read the configuration
     * from the store only: a key is withdrawn and another one issued, and the store goes down as
     * soon as one of the hosts has read the change.
     */
    @Test
    void reachesHostsThatCannotReachTheStore() throws Exception {
      configure(List.of("key-two", "key-new"), 0);
      LoopbackFleet.await(
          "the withdrawal of the key at host 1", () -> statusWithKey(1, "w", "key-one") == 401);
      fleet.store.setDown(true);
      LoopbackFleet.await(
          "the withdrawal of the key at host 2", () -> statusWithKey(2, "w", "key-one") == 401);
      fleet.startNode(3);
      LoopbackFleet.await(
          "a response of host 3, which never reached the store",
          () -> statusWithKey(3, "n3", "key-new") == 200);
      for (int host = 1; host <= 3; host++) {
        assertThat(statusWithKey(host, "w" + host, "key-one")).isEqualTo(401);
        assertThat(statusWithKey(host, "n" + host, "key-new")).isEqualTo(200);
      }
    }

    /**
     * Guards against a request that runs with a withdrawn key because its key is checked on arrival
     * only: the key is withdrawn while the request waits for an adapter.
     */
    @Test
    void rejectsWaitingRequests() throws Exception {
      StandinRunner model = fleet.startRunner("i-2", "llm", "m");
      model.loadMillis(60_000);
      LoopbackFleet.await(
          "a response of the model runner through host 1", () -> servesModel("before"));
      Request waiting = withKey(request(1, "/s/x", "waits"), "key-one");
      waiting.headers(
          headers -> headers.put(Headers.MODEL, "m/a1").put(Headers.TOKEN_COUNTS, "100,20"));
      CompletableFuture<ContentResponse> response = new CompletableResponseListener(waiting).send();
      LoopbackFleet.await("an order to load its adapter", () -> !model.acceptedOrders().isEmpty());
      configure(List.of("key-two"), 0);
      assertThat(response.get().getStatus()).isEqualTo(401);
      assertThat(model.runs()).doesNotContainKey("waits");
    }
  }

  private boolean servesModel(String id) {
    Request request = withKey(request(1, "/s/x", id), "key-one");
    request.headers(headers -> headers.put(Headers.MODEL, "m").put(Headers.TOKEN_COUNTS, "100,20"));
    try {
      return request.send().getStatus() == 200;
    } catch (Exception e) {
      return false;
    }
  }

  /**
   * Guards against an invalid configuration that leaves the fleet without any configuration or with
   * a part of it: operators list one key in two workspaces and correct this later.
   */
  @Test
  void configurationWithOneKeyInTwoWorkspacesIsNotApplied() throws Exception {
    configure(List.of("key-one", "key-three"), 0);
    configure(List.of("key-one", "key-five"), 0);
    LoopbackFleet.await(
        "the corrected configuration", () -> statusWithKey(1, "c", "key-five") == 200);
    assertThat(statusWithKey(1, "d", "key-three")).isEqualTo(200);
  }

  @Nested
  class Limits {
    /** Requests of the other workspace are still served. */
    @Test
    void requestsBeyondAllowanceAreRefusedWithRetryAfter() throws Exception {
      configure(List.of("key-one", "key-two"), 100);
      LoopbackFleet.await(
          "a refusal because the allowance is exceeded",
          () -> statusWithKey(1, "f", "key-one") == 429);
      ContentResponse refused = withKey(request(1, "/a/x", "late"), "key-one").send();
      assertThat(refused.getStatus()).isEqualTo(429);
      double seconds = Double.parseDouble(refused.getHeaders().get("Retry-After"));
      assertThat(seconds).isGreaterThan(0.0);
      assertThat(runner.runs()).doesNotContainKey("late");
      assertThat(statusWithKey(1, "other", "key-three")).isEqualTo(200);
    }

    /** The allowance is shared: what is spent at one host is no longer available at the other. */
    @Test
    void spendingAtOneHostCountsAtOthers() throws Exception {
      configure(List.of("key-one", "key-two"), 100);
      LoopbackFleet.await("a refusal by host 1", () -> statusWithKey(1, "f", "key-one") == 429);
      LoopbackFleet.await("a refusal by host 2", () -> statusWithKey(2, "g", "key-one") == 429);
    }
  }
}
