package org.sequoiahub.core.config;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

/**
 * A record as the configuration service stores it.
 *
 * @param key the record's key
 * @param revision the revision of the configuration service at which the record was written or
 *     deleted; above 0
 * @param deleted whether the record was deleted at that revision
 * @param value the stored JSON, unchanged; empty if deleted. The array is not copied; treat it as
 *     immutable.
 */
@SuppressWarnings("ArrayRecordComponent") // identified by key and revision in AcceptedRecords
public record StoredRecord(String key, long revision, boolean deleted, byte[] value) {
  /** Validates the components. */
  public StoredRecord {
    requireNonNull(key, "key must not be null");
    requireNonNull(value, "value must not be null");
    checkArgument(revision > 0, "revision must be above 0, was %s", revision);
  }
}
