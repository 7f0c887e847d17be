package org.sequoiahub.node;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.sequoiahub.core.capacity.ServiceCapacity;
import org.sequoiahub.core.runnerstate.RunnerAvailability;
import org.sequoiahub.core.upstream.RunnerEntry;
import org.sequoiahub.node.call.QuarantineStatus;
import org.sequoiahub.node.runnerstate.CapacityStatus;
import org.sequoiahub.node.runnerstate.LimitStatus;
import org.sequoiahub.node.store.ConfigurationStatus;

/** Renders what {@code sequoia status} prints of a host, as JSON. */
final class StatusPage {

  /** The path of the page on the metrics port. */
  static final String PATH = "/status";

  private static final ObjectMapper MAPPER = new ObjectMapper();

  private StatusPage() {}

  static String render(
      String host,
      boolean ready,
      boolean runnersUnreachable,
      ConfigurationStatus configuration,
      List<LimitStatus> limits,
      List<CapacityStatus> capacities,
      List<RunnerAvailability.Statement> statements,
      List<ServiceCapacity> speeds,
      List<QuarantineStatus> quarantined,
      List<RunnerEntry> present) {
    ObjectNode page = MAPPER.createObjectNode();
    page.put("host", host)
        .put("ready", ready)
        .put("runners_reachable", !runnersUnreachable)
        .put("configuration", configuration.version())
        .put("configuration_position", configuration.position().toString());
    ArrayNode runners = page.putArray("runners");
    for (LimitStatus limit : limits) {
      runners
          .addObject()
          .put("runner", limit.runner())
          .put("limit_per_s", limit.perSecond())
          .put("age_ms", limit.ageMillis())
          .put("from", limit.fromPeer() ? "peer" : "runner")
          .put("sent_4s", limit.sentInWindow())
          .put("issuer", limit.issuer());
    }
    for (CapacityStatus capacity : capacities) {
      runners
          .addObject()
          .put("runner", capacity.runner())
          .put("withstands_refusals_per_s", capacity.refusalsPerSecond())
          .put("age_ms", capacity.ageMillis())
          .put("from", capacity.fromPeer() ? "peer" : "runner")
          .put("capacity", capacity.capacity())
          .put("in_use", capacity.held())
          .put("issuer", capacity.issuer());
    }
    for (RunnerAvailability.Statement statement : statements) {
      ObjectNode row =
          runners
              .addObject()
              .put("runner", statement.runner())
              .put("stated", statement.reason().name().toLowerCase(Locale.ROOT))
              .put("age_ms", statement.ageMillis())
              .put("from", statement.fromPeer() ? "peer" : "runner");
      if (statement.leftMillis() >= 0) {
        row.put("left_ms", statement.leftMillis());
      }
    }
    ArrayNode held = page.putArray("quarantined");
    for (QuarantineStatus status : quarantined) {
      ObjectNode row =
          held.addObject()
              .put("fingerprint", status.fingerprint())
              .put("of", status.ofPart() ? "part" : "request")
              .put("for_ms", status.forMillis());
      status.terminations().forEach(row.putArray("ends")::add);
    }
    ArrayNode estimated = page.putArray("speeds");
    for (ServiceCapacity speed : speeds) {
      estimated
          .addObject()
          .put("service", speed.service())
          .put("runners", speed.runners())
          .put("observed", speed.observed())
          .put("tokens_per_ms", speed.median().prefillTokensPerMilli())
          .put("service_ms", speed.median().serviceMillis())
          .put("pace", speed.median().pace())
          .put("slowest_pace", speed.slowestPace());
    }
    addVersions(page.putArray("versions"), present);
    return page.toString();
  }

  /** Adds the number of runners of each service, by the version of their software. */
  private static void addVersions(ArrayNode rows, List<RunnerEntry> present) {
    Map<String, Map<String, Integer>> counts = new TreeMap<>();
    for (RunnerEntry runner : present) {
      counts
          .computeIfAbsent(runner.service(), service -> new TreeMap<>())
          .merge(runner.version().name(), 1, Integer::sum);
    }
    counts.forEach(
        (service, versions) ->
            versions.forEach(
                (version, count) ->
                    rows.addObject()
                        .put("service", service)
                        .put("version", version)
                        .put("runners", count)));
  }
}
