package org.sequoiahub.core.record;

import java.util.List;
import java.util.function.Function;

/** What became of a record's value. */
public sealed interface RecordParseResult {

  /**
   * The value is valid.
   *
   * @param record the typed record
   * @param schema the schema version that the value carries
   */
  record Valid(PlatformRecord record, int schema) implements RecordParseResult {}

  /**
   * The value is not valid.
   *
   * @param problems every problem found, never empty
   */
  record Invalid(List<RecordProblem> problems) implements RecordParseResult {
    /** Copies the list. */
    public Invalid {
      problems = List.copyOf(problems);
    }
  }

  /** Applies the function that matches this result. */
  default <T> T fold(Function<Valid, T> valid, Function<Invalid, T> invalid) {
    return this instanceof Valid v ? valid.apply(v) : invalid.apply((Invalid) this);
  }
}
