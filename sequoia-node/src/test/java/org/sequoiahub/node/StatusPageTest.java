package org.sequoiahub.node;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.sequoiahub.node.ratelimit.LimitStatus;
import org.sequoiahub.node.store.ConfigurationStatus;

class StatusPageTest {

  @Test
  void listsTheLimitsInForce() throws Exception {
    JsonNode page =
        new ObjectMapper()
            .readTree(
                StatusPage.render(
                    "host-1",
                    true,
                    new ConfigurationStatus(7, 100, false, 0, 0),
                    List.of(new LimitStatus("i-1", 0.5, 300, true, 2, "host-2"))));
    assertThat(page.path("host").asText()).isEqualTo("host-1");
    assertThat(page.path("configuration").asLong()).isEqualTo(7);
    JsonNode runner = page.path("runners").path(0);
    assertThat(runner.path("runner").asText()).isEqualTo("i-1");
    assertThat(runner.path("limit_per_s").asDouble()).isEqualTo(0.5);
    assertThat(runner.path("from").asText()).isEqualTo("peer");
    assertThat(runner.path("issuer").asText()).isEqualTo("host-2");
  }
}
