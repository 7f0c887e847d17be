package org.sequoiahub.core.record;

/**
 * Parses and validates a record's value.
 *
 * <p>The result must depend on the key and the value only, never on other records or on previously
 * accepted ones. Otherwise, two watchers that receive the same revisions in a different order could
 * accept different ones, and their configurations would never converge.
 *
 * @see DefaultRecordParser
 */
@FunctionalInterface
public interface RecordParser {

  /**
   * Parses {@code value}, the JSON text stored under {@code key}.
   *
   * @param key the record's key, such as {@code adapters/soot-advice}
   * @param value UTF-8 JSON, at most 1 MiB
   * @return the typed record, or every problem found
   */
  RecordParseResult parse(String key, byte[] value);
}
