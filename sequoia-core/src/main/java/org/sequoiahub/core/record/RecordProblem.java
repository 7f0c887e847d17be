package org.sequoiahub.core.record;

/**
 * Why a record cannot be accepted.
 *
 * @param key the record's key
 * @param field the path of the field at fault; empty if the whole value is
 * @param reason what is wrong and what is allowed
 */
public record RecordProblem(String key, String field, String reason) {
  @Override
  public String toString() {
    return "record=" + key + " field=" + (field.isEmpty() ? "(whole)" : field) + ": " + reason;
  }
}
