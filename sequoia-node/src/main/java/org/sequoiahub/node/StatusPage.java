package org.sequoiahub.node;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Locale;
import org.sequoiahub.core.runnerstate.RunnerAvailability;
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
      List<RunnerAvailability.Statement> statements) {
    ObjectNode page = MAPPER.createObjectNode();
    page.put("host", host)
        .put("ready", ready)
        .put("runners_reachable", !runnersUnreachable)
        .put("configuration", configuration.version());
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
    return page.toString();
  }
}
