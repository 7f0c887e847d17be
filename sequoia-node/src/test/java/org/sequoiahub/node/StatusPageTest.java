package org.sequoiahub.node;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.sequoiahub.core.capacity.RunnerSpeed;
import org.sequoiahub.core.capacity.ServiceCapacity;
import org.sequoiahub.core.runnerstate.RunnerAvailability.Statement;
import org.sequoiahub.core.runnerstate.SendDecision.Reason;
import org.sequoiahub.core.store.StorePosition;
import org.sequoiahub.core.upstream.RunnerEntry;
import org.sequoiahub.core.upstream.RunnerIncarnation;
import org.sequoiahub.core.upstream.SoftwareVersion;
import org.sequoiahub.node.call.QuarantineStatus;
import org.sequoiahub.node.runnerstate.CapacityStatus;
import org.sequoiahub.node.runnerstate.LimitStatus;
import org.sequoiahub.node.store.ConfigurationStatus;

class StatusPageTest {

  private static RunnerEntry runner(String id, String version) {
    return new RunnerEntry(
        RunnerIncarnation.of(id),
        0,
        "llm",
        SoftwareVersion.of(version),
        "10.0.0.1:80",
        "z",
        8,
        false,
        -1,
        0,
        Set.of(),
        Map.of());
  }

  @Test
  void listsWhatRunnersState() throws Exception {
    JsonNode page =
        new ObjectMapper()
            .readTree(
                StatusPage.render(
                    "host-1",
                    true,
                    false,
                    new ConfigurationStatus(7, new StorePosition(2, 100), false, 0, 0),
                    List.of(new LimitStatus("i-1", 0.5, 300, true, 2, "host-2")),
                    List.of(),
                    List.of(
                        new Statement("i-2", Reason.LEAVING, 40, -1, true),
                        new Statement("i-3", Reason.BACKOFF, 50, 2_950, false)),
                    List.of(
                        new ServiceCapacity("llm", 3, 2, new RunnerSpeed(38, 40, 1.5, 0.3), 3.5)),
                    List.of(),
                    List.of(runner("i-1", "v1"), runner("i-2", "v1"), runner("i-3", "v1.1"))));
    assertThat(page.path("host").asText()).isEqualTo("host-1");
    assertThat(page.path("configuration").asLong()).isEqualTo(7);
    assertThat(page.path("configuration_position").asText()).isEqualTo("2.100");
    JsonNode runner = page.path("runners").path(0);
    assertThat(runner.path("runner").asText()).isEqualTo("i-1");
    assertThat(runner.path("limit_per_s").asDouble()).isEqualTo(0.5);
    assertThat(runner.path("from").asText()).isEqualTo("peer");
    assertThat(runner.path("issuer").asText()).isEqualTo("host-2");
    assertThat(page.path("runners").path(1).toString())
        .isEqualTo("{\"runner\":\"i-2\",\"stated\":\"leaving\",\"age_ms\":40,\"from\":\"peer\"}");
    assertThat(page.path("runners").path(2).path("left_ms").asLong()).isEqualTo(2_950);
    assertThat(page.path("speeds").toString())
        .isEqualTo(
            "[{\"service\":\"llm\",\"runners\":3,\"observed\":2,\"tokens_per_ms\":38.0,"
                + "\"service_ms\":40.0,\"pace\":1.5,\"slowest_pace\":3.5}]");
    assertThat(page.path("versions").toString())
        .isEqualTo(
            "[{\"service\":\"llm\",\"version\":\"v1\",\"runners\":2},"
                + "{\"service\":\"llm\",\"version\":\"v1.1\",\"runners\":1}]");
  }

  @Test
  void listsCapacitiesOfRunnersThatFailOnRefusals() throws Exception {
    JsonNode page =
        new ObjectMapper()
            .readTree(
                StatusPage.render(
                    "host-1",
                    true,
                    false,
                    new ConfigurationStatus(7, new StorePosition(2, 100), false, 0, 0),
                    List.of(),
                    List.of(new CapacityStatus("i-1", 4, 300, true, 8, 6, "host-2")),
                    List.of(),
                    List.of(),
                    List.of(),
                    List.of()));
    assertThat(page.path("runners").path(0).toString())
        .isEqualTo(
            "{\"runner\":\"i-1\",\"withstands_refusals_per_s\":4.0,\"age_ms\":300,"
                + "\"from\":\"peer\",\"capacity\":8,\"in_use\":6,\"issuer\":\"host-2\"}");
  }

  @Test
  void listsWhatIsQuarantined() throws Exception {
    JsonNode page =
        new ObjectMapper()
            .readTree(
                StatusPage.render(
                    "host-1",
                    true,
                    false,
                    new ConfigurationStatus(7, new StorePosition(2, 100), false, 0, 0),
                    List.of(),
                    List.of(),
                    List.of(),
                    List.of(),
                    List.of(new QuarantineStatus("8c1f", true, List.of("i-1@900ms"), 599_100)),
                    List.of()));
    assertThat(page.path("quarantined").toString())
        .isEqualTo(
            "[{\"fingerprint\":\"8c1f\",\"of\":\"part\",\"for_ms\":599100,"
                + "\"ends\":[\"i-1@900ms\"]}]");
  }
}
