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
 * Guards against an adapter whose load terminates one runner after the other: its requests move on
 * to the next runner, and their callers repeat them. Holders must share the terminations that they
 * observe; when each holder considered only its own orders, 31 requests, sent one after the other
 * in a minute, terminated 219 runners.
 */
@Timeout(value = 180, unit = TimeUnit.SECONDS)
class RunnerTerminatingLoadTest {

  private static final int HOSTS = 3;
  private static final String TERMINATING_ADAPTER = "a9";

  private LoopbackFleet fleet;

  @BeforeEach
  void open() throws Exception {
    fleet = new LoopbackFleet();
    fleet.configure(LoopbackFleet.route("/s/", "streaming", "llm", true));
    for (int number = 1; number <= 4; number++) {
      fleet.startRunnerTerminatedByLoad("i-" + number, "llm", "m", TERMINATING_ADAPTER);
    }
    fleet.startNodes(HOSTS);
  }

  @AfterEach
  void close() throws Exception {
    fleet.close();
  }

  private ContentResponse send(int number, String id, String adapter) throws Exception {
    return fleet
        .request(number, "/s/x", id)
        .method(HttpMethod.POST)
        .headers(h -> h.put(Headers.MODEL, "m/" + adapter).put(Headers.TOKEN_COUNTS, "100,20"))
        .body(new StringRequestContent(id))
        .send();
  }

  private int status(int number, String id, String adapter) {
    try {
      return send(number, id, adapter).getStatus();
    } catch (Exception e) {
      return 0;
    }
  }

  /**
   * A request in flight to a fourth runner when the third terminates may terminate that one too.
   */
  @Test
  void isNotOrderedAfterTerminatingThreeRunners() throws Exception {
    int[] sent = {0};
    LoopbackFleet.await(
        "the quarantine of the load",
        () -> {
          status(1 + sent[0] % HOSTS, "first-" + sent[0]++, TERMINATING_ADAPTER);
          return fleet.terminatedRunnerCount() >= 3 && isQuarantined(sent[0]);
        });
    long terminatedBefore = fleet.terminatedRunnerCount();
    assertThat(terminatedBefore).isAtMost(4);
    for (int i = 0; i < 4 * HOSTS; i++) {
      assertThat(status(1 + i % HOSTS, "again-" + i, TERMINATING_ADAPTER)).isEqualTo(503);
    }
    assertThat(fleet.terminatedRunnerCount()).isEqualTo(terminatedBefore);
    LoopbackFleet.await(
        "a response with another adapter", () -> status(1, nextOtherId(sent), "a1") == 200);
  }

  private static String nextOtherId(int[] sent) {
    return "other-" + sent[0]++;
  }

  private boolean isQuarantined(int number) {
    for (int host = 1; host <= HOSTS; host++) {
      try {
        ContentResponse response = send(host, "probe-" + number + "-" + host, TERMINATING_ADAPTER);
        String retry = response.getHeaders().get("Retry-After");
        if (response.getStatus() != 503 || retry == null || Double.parseDouble(retry) < 100) {
          return false;
        }
      } catch (Exception e) {
        return false;
      }
    }
    return true;
  }
}
