package org.sequoiahub.wire;

import com.google.protobuf.ByteString;
import org.sequoiahub.core.config.StoredRecord;
import org.sequoiahub.schema.wire.AcceptedRecord;

/** Converts records between the decision core's form and the wire's. */
public final class WireRecords {

  private WireRecords() {}

  /** Returns the wire's form of {@code record}. */
  public static AcceptedRecord toWire(StoredRecord record) {
    return AcceptedRecord.newBuilder()
        .setKey(record.key())
        .setRevision(record.revision())
        .setDeleted(record.deleted())
        .setValue(ByteString.copyFrom(record.value()))
        .build();
  }

  /** Returns the core's form of {@code record}. */
  public static StoredRecord fromWire(AcceptedRecord record) {
    return new StoredRecord(
        record.getKey(),
        record.getRevision(),
        record.getDeleted(),
        record.getValue().toByteArray());
  }
}
