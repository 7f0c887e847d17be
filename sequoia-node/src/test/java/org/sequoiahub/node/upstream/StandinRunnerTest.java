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

  private static final long TIMEOUT_MILLIS = 60_000;

  /**
   * Guards against reports that omit adapters in transit, which the platform's runners list and
   * holders count. If the reply to a load order arrives after its timeout, the holder requests a
   * report; if the report counts the order but does not list the adapter, the holder fills the
   * place that seems free, and the runner is ordered to hold nine adapters in eight places.
   */
  @Test
  void reportIncludesAdaptersInTransit() throws Exception {
    HttpClient http = UpstreamClient.start();
    try (StandinRunner runner = new StandinRunner("i-1", "llm", "m", 4)) {
      runner.loadMillis(60_000);
      RecordDecoder decoder = new RecordDecoder(KeyHasher.withRandomSecret(new SecureRandom()));
      RunnerEntry entry = decoder.decodeRunner("i-1", runner.entry("ready").getBytes(UTF_8));
      OrderClient client = new OrderClient(http, decoder, (from, signals) -> {}, () -> 0);
      Order load = new Order(Order.Operation.LOAD, "m", "a1", 0);
      CompletableFuture<OrderReply> reply = new CompletableFuture<>();
      client.sendOrder(entry, load, 0, "host-1", 1, TIMEOUT_MILLIS, reply::complete);
      assertThat(reply.get()).isEqualTo(OrderReply.ACCEPTED);
      CompletableFuture<ReportReply> reportReply = new CompletableFuture<>();
      client.fetchReport(entry, TIMEOUT_MILLIS, reportReply::complete);
      assertThat(reportReply.get()).isInstanceOf(ReportReply.Received.class);
      RunnerReport report = ((ReportReply.Received) reportReply.get()).report();
      assertThat(report.sequence()).isEqualTo(1);
      assertThat(report.loading().keySet()).containsExactly("m/a1");
    } finally {
      http.stop();
    }
  }
}
