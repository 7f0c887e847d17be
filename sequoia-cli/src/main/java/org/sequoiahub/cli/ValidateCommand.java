package org.sequoiahub.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.sequoiahub.core.record.DefaultRecordParser;
import org.sequoiahub.core.record.RecordParser;
import org.sequoiahub.core.record.RecordProblem;

/**
 * Checks which records of a file would be accepted, with the same parser that the processes use,
 * and prints the problems of those that would be refused.
 */
final class ValidateCommand implements Command {

  private final RecordParser parser = new DefaultRecordParser();
  private final ObjectMapper mapper = new ObjectMapper();

  @Override
  public int run(List<String> arguments, PrintStream out) throws IOException {
    if (arguments.size() != 1) {
      throw new UsageException("expected exactly one FILE");
    }
    Map<String, JsonNode> records = readRecords(Path.of(arguments.get(0)));
    int refused = 0;
    for (Map.Entry<String, JsonNode> record : records.entrySet()) {
      byte[] value = record.getValue().toString().getBytes(StandardCharsets.UTF_8);
      refused +=
          parser
              .parse(record.getKey(), value)
              .fold(
                  valid -> {
                    out.println("record=" + record.getKey() + " accepted schema=" + valid.schema());
                    return 0;
                  },
                  invalid -> {
                    for (RecordProblem problem : invalid.problems()) {
                      out.println("refused " + problem);
                    }
                    return 1;
                  });
    }
    out.println((records.size() - refused) + " accepted, " + refused + " refused");
    return refused == 0 ? 0 : 1;
  }

  private Map<String, JsonNode> readRecords(Path file) throws IOException {
    if (!Files.isReadable(file)) {
      throw new UsageException("FILE does not exist or is not readable: '" + file + "'");
    }
    JsonNode root;
    try {
      root = mapper.readTree(Files.readAllBytes(file));
    } catch (JsonProcessingException e) {
      throw new UsageException("FILE is not valid JSON: " + e.getOriginalMessage());
    }
    Map<String, JsonNode> records = new LinkedHashMap<>();
    if (root.isObject()) {
      root.fields().forEachRemaining(field -> records.put(field.getKey(), field.getValue()));
    } else {
      for (JsonNode item : root) {
        if (!item.path("key").isTextual() || !item.has("value")) {
          throw new UsageException(
              "each array element must have a string 'key' and a 'value', was " + item);
        }
        records.put(item.get("key").textValue(), item.get("value"));
      }
    }
    if (records.isEmpty()) {
      throw new UsageException("FILE contains no records");
    }
    return records;
  }
}
