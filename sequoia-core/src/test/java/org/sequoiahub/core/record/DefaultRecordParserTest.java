package org.sequoiahub.core.record;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sequoiahub.core.record.PlatformRecord.Adapter;

class DefaultRecordParserTest {

  private final DefaultRecordParser parser = new DefaultRecordParser();

  private Adapter adapter(String json) {
    RecordParseResult parsed = parser.parse("adapters/soot", json.getBytes(UTF_8));
    return (Adapter) parsed.fold(RecordParseResult.Valid::record, invalid -> null);
  }

  private List<String> problems(String key, String json) {
    return parser
        .parse(key, json.getBytes(UTF_8))
        .fold(valid -> List.of(), i -> i.problems().stream().map(Object::toString).toList());
  }

  @Nested
  class Adapters {

    @Test
    void schema1GivesAllTrafficToItsVersion() {
      Adapter soot =
          adapter("{\"schema\":1,\"adapter\":\"soot\",\"version\":\"3\",\"base_model\":\"m1\"}");
      assertThat(soot.traffic()).containsExactly(new PlatformRecord.TrafficShare("3", 1));
    }

    @Test
    void schema2SplitsTrafficAndIgnoresUnknownFields() {
      Adapter soot =
          adapter(
              "{\"schema\":2,\"name\":\"soot\",\"base_model\":\"m1\",\"note\":\"kept\","
                  + "\"versions\":[{\"version\":\"3\",\"weight\":9},{\"version\":\"4\"}]}");
      assertThat(soot.hasVersion("4")).isTrue();
      assertThat(soot.hasVersion("5")).isFalse();
    }

    @Test
    void everyProblemNamesItsField() {
      assertThat(
              problems(
                  "adapters/soot",
                  "{\"schema\":2,\"name\":\"soot\",\"base_model\":7,\"max_replicas\":0,"
                      + "\"versions\":[{\"version\":\"3\",\"weight\":-1},{\"weight\":1}]}"))
          .containsExactly(
              "record=adapters/soot field=base_model: must be a valid name ("
                  + Names.FORMAT
                  + "), was 7",
              "record=adapters/soot field=max_replicas: must be from 1 to 10000, was 0",
              "record=adapters/soot field=versions[0].weight: must be from 0 to 1000000, was -1",
              "record=adapters/soot field=versions[1].version: is missing");
    }
  }

  @Nested
  class AnyRecord {

    @Test
    void unknownSchemaIsReportedForItsField() {
      assertThat(problems("adapters/soot", "{\"schema\":3}"))
          .containsExactly("record=adapters/soot field=schema: must be one of [1, 2], was 3");
    }

    @Test
    void nameMustMatchKey() {
      assertThat(problems("services/a", "{\"schema\":1,\"name\":\"b\"}")).hasSize(1);
    }

    @Test
    void malformedJsonIsReportedForTheWholeValue() {
      assertThat(problems("teams/a", "{\"schema\":1,").get(0)).contains("field=(whole)");
      assertThat(problems("teams/a", "{} {}").get(0)).contains("field=(whole)");
    }
  }
}
