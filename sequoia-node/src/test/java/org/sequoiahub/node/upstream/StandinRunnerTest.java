package org.sequoiahub.node.upstream;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import java.security.SecureRandom;
import java.util.concurrent.CompletableFuture;
import org.eclipse.jetty.client.HttpClient;
import org.junit.jupiter.api.Test;
import org.sequoiahub.core.holding.Order;
import org.sequoiahub.core.holding.OrderReply;
import org.sequoiahub.core.holding.ReportReply;
import org.sequoiahub.core.holding.RunnerReport;
import org.sequoiahub.core.upstream.RunnerEntry;
import org.sequoiahub.core.workspace.KeyHasher;
import org.sequoiahub.usersplatform.OrderClient;
import org.sequoiahub.usersplatform.RecordDecoder;
import org.sequoiahub.usersplatform.standin.StandinRunner;

class StandinRunnerTest {

  private static final long WAIT_MILLIS = 60_000;

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
      RecordDecoder decoder = new RecordDecoder(KeyHasher.drawn(new SecureRandom()));
      RunnerEntry entry = decoder.decodeRunner("i-1", runner.entry("ready").getBytes(UTF_8));
      OrderClient client = new OrderClient(http, decoder);
      Order load = new Order(Order.Operation.LOAD, "m", "a1", 0);
      CompletableFuture<OrderReply> reply = new CompletableFuture<>();
      client.order(entry, load, 0, "host-1", 1, WAIT_MILLIS, reply::complete);
      assertThat(reply.get()).isEqualTo(OrderReply.ACCEPTED);
      CompletableFuture<ReportReply> answer = new CompletableFuture<>();
      client.report(entry, WAIT_MILLIS, answer::complete);
      assertThat(answer.get()).isInstanceOf(ReportReply.Given.class);
      RunnerReport report = ((ReportReply.Given) answer.get()).report();
      assertThat(report.sequence()).isEqualTo(1);
      assertThat(report.coming().keySet()).containsExactly("m/a1");
    } finally {
      http.stop();
    }
  }
}
