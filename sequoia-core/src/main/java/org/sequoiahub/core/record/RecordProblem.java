package org.sequoiahub.core.record;

/**
 * A reason for which a record is invalid.
 *
 * @param key the record's key
 * @param field the path of the invalid field; empty if the problem concerns the whole value
 * @param reason what is wrong and what is allowed
 */
public record RecordProblem(String key, String field, String reason) {
  @Override
  public String toString() {
    return "record=" + key + " field=" + (field.isEmpty() ? "(whole)" : field) + ": " + reason;
  }
}
