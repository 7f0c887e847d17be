package org.sequoiahub.node.upstream;

import static com.google.common.truth.Truth.assertThat;

import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.StringRequestContent;
import org.eclipse.jetty.http.HttpMethod;
import org.junit.jupiter.api.Test;
import org.sequoiahub.usersplatform.RecordDecoder;
import org.sequoiahub.usersplatform.standin.StandinRunner;

class StandinRunnerTest {

  /**
   * Symptom: the soak says that a runner was ordered to hold nine adapters in eight places (seed 7
   * with 10 runners of each kind, 8 places, 71 requests a second).
   *
   * <p>Events: the reply to a load comes after its time limit; the holder reads a report, which
   * counts the order and does not name the adapter, and fills the place that seems free.
   *
   * <p>Cause: the stand-in told of adapters that are there only. Runners of the platform list those
   * that are on their way as well, and holders count both.
   */
  @Test
  void reportsWhatIsOnItsWay() throws Exception {
    HttpClient http = UpstreamClient.start();
    try (StandinRunner runner = new StandinRunner("i-1", "llm", "m", 4)) {
      runner.loadMillis(60_000);
      String order = "{\"operation\":\"load\",\"model\":\"m\",\"adapter\":\"a1\",\"expect\":0}";
      http.newRequest("http://" + runner.address() + "/v1/order")
          .method(HttpMethod.POST)
          .body(new StringRequestContent("application/json", order))
          .send();
      byte[] report = http.GET("http://" + runner.address() + "/v1/report").getContent();
      var decoded = new RecordDecoder().report(report);
      assertThat(decoded.sequence()).isEqualTo(1);
      assertThat(decoded.coming().keySet()).containsExactly("m/a1");
    } finally {
      http.stop();
    }
  }
}
