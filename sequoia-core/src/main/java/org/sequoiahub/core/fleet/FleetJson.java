package org.sequoiahub.core.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;
import org.sequoiahub.core.fleet.Fleet.Host;
import org.sequoiahub.core.fleet.Fleet.Runner;
import org.sequoiahub.core.fleet.Fleet.ServiceUpstream;
import org.sequoiahub.core.fleet.Fleet.State;

/** Parses the host list from JSON in the format that docs/PLATFORM.md defines. */
public final class FleetJson {

  private static final ObjectMapper MAPPER = new ObjectMapper();

  private FleetJson() {}

  /**
   * Parses a host list.
   *
   * @throws IllegalArgumentException if {@code json} is not JSON, or if a field is missing or
   *     invalid; the message names the field
   */
  public static Fleet parse(byte[] json) {
    JsonNode root;
    try {
      root = MAPPER.readTree(json);
    } catch (IOException e) {
      throw new IllegalArgumentException("host list must be valid JSON: " + e.getMessage(), e);
    }
    return new Fleet(
        JsonItem.at(root, "host list").number("revision"),
        items(root, "hosts", FleetJson::host, Host::id),
        items(root, "runners", FleetJson::runner, Runner::id),
        items(root, "upstreams", FleetJson::upstream, ServiceUpstream::id));
  }

  private static Host host(JsonItem item) {
    return new Host(
        item.text("id"),
        item.text("address"),
        item.text("failure_domain"),
        item.state(),
        item.positiveInt("entry_port"),
        item.positiveInt("dispatcher_port"),
        item.positiveInt("watcher_port"));
  }

  private static Runner runner(JsonItem item) {
    return new Runner(
        item.text("id"),
        item.text("address"),
        item.text("failure_domain"),
        item.state(),
        item.text("base_model"),
        item.positiveInt("slots"),
        item.positiveInt("batch"),
        item.bool("checks_fencing"));
  }

  private static ServiceUpstream upstream(JsonItem item) {
    return new ServiceUpstream(
        item.text("id"),
        item.text("service"),
        item.text("address"),
        item.text("failure_domain"),
        item.state());
  }

  private static <T> List<T> items(
      JsonNode root, String field, Function<JsonItem, T> parser, Function<T, String> idOf) {
    List<T> items = new ArrayList<>();
    Set<String> ids = new HashSet<>();
    for (JsonNode node : root.path(field)) {
      T item = parser.apply(JsonItem.at(node, field + "[" + items.size() + "]"));
      if (!ids.add(idOf.apply(item))) {
        throw new IllegalArgumentException(
            field + ": id '" + idOf.apply(item) + "' is listed more than once");
      }
      items.add(item);
    }
    return items;
  }

  private record JsonItem(JsonNode node, String path) {
    static JsonItem at(JsonNode node, String path) {
      return new JsonItem(node, path);
    }

    String text(String field) {
      @Nullable String text = node.path(field).textValue();
      if (text == null || text.isEmpty()) {
        throw invalid(field, "must be a non-empty string");
      }
      return text;
    }

    long number(String field) {
      if (!node.path(field).isIntegralNumber()) {
        throw invalid(field, "must be an integer");
      }
      return node.path(field).longValue();
    }

    int positiveInt(String field) {
      long value = number(field);
      if (value < 1 || value > 1_000_000) {
        throw invalid(field, "must be from 1 to 1000000");
      }
      return (int) value;
    }

    boolean bool(String field) {
      if (!node.path(field).isBoolean()) {
        throw invalid(field, "must be true or false");
      }
      return node.path(field).booleanValue();
    }

    State state() {
      String text = text("state");
      try {
        return State.valueOf(text.toUpperCase(Locale.ROOT));
      } catch (IllegalArgumentException e) {
        throw invalid("state", "must be live or leaving");
      }
    }

    private IllegalArgumentException invalid(String field, String requirement) {
      return new IllegalArgumentException(path + "." + field + " " + requirement);
    }
  }
}
