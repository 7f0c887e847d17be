package org.sequoiahub.node;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.eclipse.jetty.client.ContentResponse;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.sequoiahub.usersplatform.StoreKeys;
import org.sequoiahub.usersplatform.standin.StandinRunner;

/** Guards against hosts that end, or stop following the runners, for one odd entry among them. */
class OddEntryTest {

  private static final int REQUESTS = 12;
  private static final int DEADLINE_SECONDS = 1;
  private static final String LARGEST = Long.toString(Long.MAX_VALUE);

  private LoopbackFleet fleet;

  @BeforeEach
  void open() throws Exception {
    fleet = new LoopbackFleet();
    fleet.configure(LoopbackFleet.route("/p/", "unsafe", "plain", false));
    fleet.startRunner("i-1", "plain", "");
    fleet.startOnlyNode();
    assertServed("before");
  }

  @AfterEach
  void close() throws Exception {
    fleet.close();
  }

  private static String entry(String field, String value) {
    String sound = StandinRunner.entryOf("plain", "127.0.0.9:9", "ready", 1_700_000_000_000L, 4);
    String withoutField = sound.replaceFirst(",?\"" + field + "\":(\"[^\"]*\"|[^,}]*)", "");
    return withoutField.replaceFirst("}$", ",\"" + field + "\":" + value + "}").replace("{,", "{");
  }

  static List<String> oddEntries() {
    return List.of(
        "",
        "{",
        "null",
        "[".repeat(50_000),
        "{\"models\":".repeat(20_000),
        entry("slots", "9".repeat(2_000)),
        entry("slots", Integer.toString(Integer.MAX_VALUE)),
        entry("sequence", LARGEST),
        entry("sequence", LARGEST + "0"),
        entry("born", LARGEST),
        entry("remainingMs", "1e300"),
        entry("remainingMs", "1e999"),
        entry("address", "\"127.0.0.1:65536\""),
        entry("address", "\"127.0.0.1:99999999999\""),
        entry("address", "\"::1:80\""),
        entry("address", "\"0.0.0.0:80\""),
        entry("address", "\"224.0.0.1:80\""),
        entry("zone", "\"\\u0000\\u001b[2J\\r\\n" + "z".repeat(200) + "\""),
        entry("version", "\"" + "v".repeat(200) + "\""),
        entry("models", "[{\"name\":\"m\",\"version\":1,\"adapters\":[\"a@99999999999\"]}]"),
        entry("models", "[" + "{\"name\":\"m\",\"adapters\":[]},".repeat(20_000) + "7]"));
  }

  @ParameterizedTest
  @MethodSource("oddEntries")
  void requestsAreServedAndRunnersFollowed(String odd) throws Exception {
    fleet.store.put(StoreKeys.RUNNER_PREFIX + "i-odd", odd);
    fleet.store.put(StoreKeys.RUNNER_PREFIX + "i-odd\u0001" + "x".repeat(150), odd);
    assertServed("beside the odd entry");
    assertUsed(fleet.startRunner("i-2", "plain", ""));
  }

  /** Guards against runners whose proper entry comes after an odd one under the same id. */
  @Test
  void soundEntryReplacesOddOne() throws Exception {
    fleet.store.put(StoreKeys.RUNNER_PREFIX + "i-2", entry("address", "\"::1:80\""));
    assertUsed(fleet.startRunner("i-2", "plain", ""));
  }

  /** Asserts that the host uses a runner once the entry of the first one is removed. */
  private void assertUsed(StandinRunner runner) throws Exception {
    fleet.store.delete(StoreKeys.RUNNER_PREFIX + "i-1");
    LoopbackFleet.await("the later runner to be used", () -> isUsedByNextRequest(runner));
  }

  private boolean isUsedByNextRequest(StandinRunner runner) {
    try {
      fleet.request(1, "/p/x", "u" + ++sent).timeout(DEADLINE_SECONDS, TimeUnit.SECONDS).send();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (ExecutionException | TimeoutException e) {
      throw new IllegalStateException("a request was not answered", e);
    }
    return !runner.runs().isEmpty();
  }

  private int sent;

  private void assertServed(String when) throws Exception {
    for (int number = 0; number < REQUESTS; number++) {
      ContentResponse response =
          fleet.request(1, "/p/x", "q" + ++sent).timeout(DEADLINE_SECONDS, TimeUnit.SECONDS).send();
      assertWithMessage(when).that(response.getStatus()).isEqualTo(200);
    }
  }
}
