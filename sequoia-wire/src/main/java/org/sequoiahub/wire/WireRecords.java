package org.sequoiahub.wire;

import com.google.protobuf.ByteString;
import org.sequoiahub.core.config.StoredRecord;
import org.sequoiahub.schema.wire.AcceptedRecord;

/** Converts records between their core and wire representations. */
public final class WireRecords {

  private WireRecords() {}

  /** Returns the wire representation of {@code record}. */
  public static AcceptedRecord toWire(StoredRecord record) {
    return AcceptedRecord.newBuilder()
        .setKey(record.key())
        .setRevision(record.revision())
        .setDeleted(record.deleted())
        .setValue(ByteString.copyFrom(record.value()))
        .build();
  }

  /** Returns the core representation of {@code record}. */
  public static StoredRecord fromWire(AcceptedRecord record) {
    return new StoredRecord(
        record.getKey(),
        record.getRevision(),
        record.getDeleted(),
        record.getValue().toByteArray());
  }
}
