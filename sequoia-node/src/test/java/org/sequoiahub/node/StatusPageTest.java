package org.sequoiahub.node;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.sequoiahub.core.runnerstate.RunnerAvailability.Statement;
import org.sequoiahub.core.runnerstate.SendDecision.Reason;
import org.sequoiahub.node.runnerstate.LimitStatus;
import org.sequoiahub.node.store.ConfigurationStatus;

class StatusPageTest {

  @Test
  void listsWhatRunnersState() throws Exception {
    JsonNode page =
        new ObjectMapper()
            .readTree(
                StatusPage.render(
                    "host-1",
                    true,
                    false,
                    new ConfigurationStatus(7, 100, false, 0, 0),
                    List.of(new LimitStatus("i-1", 0.5, 300, true, 2, "host-2")),
                    List.of(
                        new Statement("i-2", Reason.LEAVING, 40, -1, true),
                        new Statement("i-3", Reason.BACKOFF, 50, 2_950, false))));
    assertThat(page.path("host").asText()).isEqualTo("host-1");
    assertThat(page.path("configuration").asLong()).isEqualTo(7);
    JsonNode runner = page.path("runners").path(0);
    assertThat(runner.path("runner").asText()).isEqualTo("i-1");
    assertThat(runner.path("limit_per_s").asDouble()).isEqualTo(0.5);
    assertThat(runner.path("from").asText()).isEqualTo("peer");
    assertThat(runner.path("issuer").asText()).isEqualTo("host-2");
    assertThat(page.path("runners").path(1).toString())
        .isEqualTo("{\"runner\":\"i-2\",\"stated\":\"leaving\",\"age_ms\":40,\"from\":\"peer\"}");
    assertThat(page.path("runners").path(2).path("left_ms").asLong()).isEqualTo(2_950);
  }
}
