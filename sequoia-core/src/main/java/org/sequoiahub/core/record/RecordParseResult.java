package org.sequoiahub.core.record;

import java.util.List;
import java.util.function.Function;

/** Result of parsing a record's value. */
public sealed interface RecordParseResult {

  /**
   * The value is valid.
   *
   * @param record the typed record
   * @param schema the schema version that the value carries
   */
  record Valid(PlatformRecord record, int schema) implements RecordParseResult {}

  /**
   * The value is invalid.
   *
   * @param problems all problems found; never empty
   */
  record Invalid(List<RecordProblem> problems) implements RecordParseResult {
    /** Creates the result with an immutable copy of the list. */
    public Invalid {
      problems = List.copyOf(problems);
    }
  }

  /** Returns the result of the function that matches the type of this result. */
  default <T> T fold(Function<Valid, T> valid, Function<Invalid, T> invalid) {
    return this instanceof Valid v ? valid.apply(v) : invalid.apply((Invalid) this);
  }
}
