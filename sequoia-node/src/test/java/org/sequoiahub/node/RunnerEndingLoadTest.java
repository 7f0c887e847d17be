package org.sequoiahub.node;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.StringRequestContent;
import org.eclipse.jetty.http.HttpMethod;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.sequoiahub.usersplatform.Headers;

/**
 * Symptom: runners end one after the other although no request ran on them.
 *
 * <p>Events: an adapter ends each runner that is ordered to load it. Its requests move on to the
 * next runner, and their callers bring them again.
 *
 * <p>Cause: each holder decided about loads from what it had ordered itself. Without the guard 31
 * requests, one after the other in a minute, ended 219 runners.
 */
@Timeout(value = 180, unit = TimeUnit.SECONDS)
class RunnerEndingLoadTest {

  private static final int HOSTS = 3;
  private static final String DEADLY = "a9";

  private LoopbackFleet fleet;

  @BeforeEach
  void open() throws Exception {
    fleet = new LoopbackFleet();
    fleet.configure(LoopbackFleet.route("/s/", "streaming", "llm", true));
    for (int number = 1; number <= 4; number++) {
      fleet.startRunnerThatCannotLoad("i-" + number, "llm", "m", DEADLY);
    }
    fleet.startNodes(HOSTS);
  }

  @AfterEach
  void close() throws Exception {
    fleet.close();
  }

  private ContentResponse ask(int number, String id, String adapter) throws Exception {
    return fleet
        .request(number, "/s/x", id)
        .method(HttpMethod.POST)
        .headers(h -> h.put(Headers.MODEL, "m/" + adapter).put(Headers.TOKEN_COUNTS, "100,20"))
        .body(new StringRequestContent(id))
        .send();
  }

  private int status(int number, String id, String adapter) {
    try {
      return ask(number, id, adapter).getStatus();
    } catch (Exception e) {
      return 0;
    }
  }

  /** A request that was on its way to a fourth runner when the third ended may end that too. */
  @Test
  void isNotOrderedOnOnceThreeRunnersEndedUnderIt() throws Exception {
    int[] asked = {0};
    LoopbackFleet.await(
        "the load held back",
        () -> {
          status(1 + asked[0] % HOSTS, "first-" + asked[0]++, DEADLY);
          return fleet.endedRunners() >= 3 && refusedAtOnce(asked[0]);
        });
    long before = fleet.endedRunners();
    assertThat(before).isAtMost(4);
    for (int i = 0; i < 4 * HOSTS; i++) {
      assertThat(status(1 + i % HOSTS, "again-" + i, DEADLY)).isEqualTo(503);
    }
    assertThat(fleet.endedRunners()).isEqualTo(before);
    LoopbackFleet.await("another adapter served", () -> status(1, other(asked), "a1") == 200);
  }

  private static String other(int[] asked) {
    return "other-" + asked[0]++;
  }

  private boolean refusedAtOnce(int number) {
    for (int host = 1; host <= HOSTS; host++) {
      try {
        ContentResponse answer = ask(host, "probe-" + number + "-" + host, DEADLY);
        String retry = answer.getHeaders().get("Retry-After");
        if (answer.getStatus() != 503 || retry == null || Double.parseDouble(retry) < 100) {
          return false;
        }
      } catch (Exception e) {
        return false;
      }
    }
    return true;
  }
}
