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
import org.sequoiahub.usersplatform.standin.StandinRunner;

/** Guards against requests that fail because the only runner dropped their adapter repeatedly. */
@Timeout(value = 120, unit = TimeUnit.SECONDS)
class AdapterMissingTest {

  private LoopbackFleet fleet;
  private StandinRunner runner;

  @BeforeEach
  void open() throws Exception {
    fleet = new LoopbackFleet();
    fleet.configure(LoopbackFleet.route("/s/", "streaming", "llm", false));
    runner = fleet.startRunner("i-1", "llm", "m");
    fleet.startOnlyNode();
  }

  @AfterEach
  void close() throws Exception {
    fleet.close();
  }

  private ContentResponse send(String id) throws Exception {
    return fleet
        .request(1, "/s/x", id)
        .method(HttpMethod.POST)
        .headers(headers -> headers.put(Headers.MODEL, "m/a1").put(Headers.TOKEN_COUNTS, "100,20"))
        .body(new StringRequestContent("prompt"))
        .send();
  }

  @Test
  void requestRefusedTwiceIsServedByOnlyRunner() throws Exception {
    assertThat(send("warm").getStatus()).isEqualTo(200);
    runner.refuseModelRequests(2);
    assertThat(send("q1").getStatus()).isEqualTo(200);
    assertThat(fleet.runCount("q1")).isEqualTo(1);
  }

  @Test
  void requestThatOnlyRunnerAlwaysRefusesEndsAsNotRun() throws Exception {
    assertThat(send("warm").getStatus()).isEqualTo(200);
    runner.refuseModelRequests();
    assertThat(send("q1").getStatus()).isEqualTo(503);
    assertThat(runner.runs()).doesNotContainKey("q1");
  }
}
