package org.sequoiahub.core.record;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.sequoiahub.core.record.PlatformRecord.Adapter;
import org.sequoiahub.core.record.PlatformRecord.Service;
import org.sequoiahub.core.record.PlatformRecord.Team;
import org.sequoiahub.core.record.PlatformRecord.TrafficShare;

/**
 * Parses records of every kind in schema 1 and schema 2.
 *
 * <p>Schema 1 of an adapter names one version, which receives all traffic. Schema 2 splits the
 * traffic over several versions and adds a team, a priority and limits. Fields unknown to a schema
 * are ignored. The stored value is forwarded unchanged, so fields added by newer writers are
 * preserved.
 */
public final class DefaultRecordParser implements RecordParser {

  /** Maximum size of a value in bytes: the limit of the configuration service. */
  public static final int MAX_VALUE_BYTES = 1 << 20;

  private static final int MAX_VERSIONS = 64;
  private static final int MAX_WEIGHT = 1_000_000;
  private static final int MAX_LIMIT = 1_000_000;
  private static final int MAX_REPLICAS = 10_000;
  private static final int DEFAULT_REPLICAS = 8;
  private static final int MAX_SHARE = 1_000;
  private static final int MAX_TIMEOUT_MILLIS = 600_000;
  private static final int DEFAULT_TIMEOUT_MILLIS = 30_000;
  private static final List<String> METHODS =
      List.of("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE");

  private final ObjectMapper mapper =
      JsonMapper.builder()
          .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .build();
  private final Map<String, Map<Integer, SchemaReader>> readers =
      Map.of(
          "adapters",
              Map.of(
                  1, DefaultRecordParser::adapterSchema1, 2, DefaultRecordParser::adapterSchema2),
          "services", Map.of(1, DefaultRecordParser::service, 2, DefaultRecordParser::service),
          "teams", Map.of(1, DefaultRecordParser::team, 2, DefaultRecordParser::team));

  @Override
  public RecordParseResult parse(String key, byte[] value) {
    int slash = key.indexOf('/');
    if (slash < 0 || !readers.containsKey(key.substring(0, slash))) {
      return invalid(key, "", "key must start with one of " + keyPrefixes());
    }
    if (value.length > MAX_VALUE_BYTES) {
      return invalid(key, "", "value must be at most " + MAX_VALUE_BYTES + " bytes");
    }
    JsonNode object;
    try {
      object = mapper.readTree(value);
    } catch (JsonProcessingException e) {
      return invalid(key, "", "value must be JSON: " + e.getOriginalMessage());
    } catch (IOException e) {
      return invalid(key, "", "value must be UTF-8 JSON");
    }
    if (object == null || !object.isObject()) {
      return invalid(key, "", "value must be a JSON object");
    }
    return parseObject(key, key.substring(0, slash), key.substring(slash + 1), object);
  }

  private RecordParseResult parseObject(
      String key, String kind, String nameInKey, JsonNode object) {
    Map<Integer, SchemaReader> schemas = readers.getOrDefault(kind, Map.of());
    JsonNode schema = object.get("schema");
    if (schema == null || !schema.isInt() || !schemas.containsKey(schema.intValue())) {
      List<Integer> supported = schemas.keySet().stream().sorted().toList();
      return invalid(key, "schema", "must be one of " + supported + ", was " + schema);
    }
    FieldReader fields = new FieldReader(key, object);
    PlatformRecord record = schemas.get(schema.intValue()).read(fields);
    if (!record.name().isEmpty() && !record.name().equals(nameInKey)) {
      fields.addProblem(
          "",
          "the name '" + record.name() + "' must equal the name in the key, '" + nameInKey + "'");
    }
    return fields.problems().isEmpty()
        ? new RecordParseResult.Valid(record, schema.intValue())
        : new RecordParseResult.Invalid(fields.problems());
  }

  private List<String> keyPrefixes() {
    return readers.keySet().stream().sorted().map(kind -> kind + "/").toList();
  }

  private static PlatformRecord adapterSchema1(FieldReader fields) {
    String name = fields.name("adapter");
    String version = fields.name("version");
    String model = fields.name("base_model");
    return new Adapter(
        name,
        model,
        "default",
        Priority.INTERACTIVE,
        List.of(new TrafficShare(version, 1)),
        0,
        DEFAULT_REPLICAS);
  }

  private static PlatformRecord adapterSchema2(FieldReader fields) {
    String name = fields.name("name");
    String model = fields.name("base_model");
    String team = fields.name("team", "default");
    String priority = fields.oneOf("priority", "interactive", List.of("interactive", "brief"));
    int maxInFlight = fields.integer("max_in_flight", 0, 0, MAX_LIMIT);
    int maxReplicas = fields.integer("max_replicas", DEFAULT_REPLICAS, 1, MAX_REPLICAS);
    return new Adapter(
        name,
        model,
        team,
        priority.equals("brief") ? Priority.BRIEF : Priority.INTERACTIVE,
        traffic(fields),
        maxInFlight,
        maxReplicas);
  }

  private static List<TrafficShare> traffic(FieldReader fields) {
    List<TrafficShare> shares = new ArrayList<>();
    Set<String> seen = new HashSet<>();
    long totalWeight = 0;
    for (FieldReader item : fields.objects("versions")) {
      String version = item.name("version");
      int weight = item.integer("weight", 1, 0, MAX_WEIGHT);
      if (!seen.add(version)) {
        item.addProblem("version", "is listed more than once: '" + version + "'");
      }
      totalWeight += weight;
      shares.add(new TrafficShare(version, weight));
    }
    if (!shares.isEmpty() && totalWeight == 0) {
      fields.addProblem("versions", "at least one weight must be above 0");
    }
    if (shares.size() > MAX_VERSIONS) {
      fields.addProblem("versions", "number of versions must be at most " + MAX_VERSIONS);
    }
    return shares;
  }

  private static PlatformRecord service(FieldReader fields) {
    return new Service(
        fields.name("name"),
        fields.strings("idempotent_methods", List.of("GET", "HEAD"), METHODS),
        fields.integer("timeout_ms", DEFAULT_TIMEOUT_MILLIS, 1, MAX_TIMEOUT_MILLIS));
  }

  private static PlatformRecord team(FieldReader fields) {
    return new Team(fields.name("name"), fields.integer("share", 1, 1, MAX_SHARE));
  }

  private static RecordParseResult invalid(String key, String field, String reason) {
    return new RecordParseResult.Invalid(List.of(new RecordProblem(key, field, reason)));
  }

  /** Reads the fields of a record of one kind and schema. */
  @FunctionalInterface
  private interface SchemaReader {
    PlatformRecord read(FieldReader fields);
  }
}
