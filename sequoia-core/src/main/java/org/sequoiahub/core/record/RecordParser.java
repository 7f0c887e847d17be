package org.sequoiahub.core.record;

/**
 * Reads a record's value.
 *
 * <p>The result depends on the key and the value alone, never on other records or on what was
 * accepted before: two watchers that see the same revisions in a different order must accept the
 * same ones, or their configurations would never converge.
 *
 * @see DefaultRecordParser
 */
@FunctionalInterface
public interface RecordParser {

  /**
   * Parses {@code value}, the JSON text stored under {@code key}.
   *
   * @param key the record's key, such as {@code adapters/soot-advice}
   * @param value UTF-8 JSON, at most a megabyte
   * @return the typed record, or every problem found
   */
  RecordParseResult parse(String key, byte[] value);
}
