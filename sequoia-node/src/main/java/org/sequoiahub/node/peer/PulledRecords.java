package org.sequoiahub.node.peer;

import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.sequoiahub.schema.peer.StoreRecords;
import org.sequoiahub.schema.peer.StoredEntry;
import org.sequoiahub.usersplatform.StoredItem;

/**
 * Records that another host passed on.
 *
 * @param ip the host
 * @param items what it knows that is newer than it was asked for
 * @param operatorsCompleteTo store revision up to which it knows all operators' records
 * @param runnersCompleteTo store revision up to which it knows all runners' entries
 * @param confirmedMillisAgo how long ago it knew that there was nothing newer of operators
 */
public record PulledRecords(
    String ip,
    List<StoredItem> items,
    long operatorsCompleteTo,
    long runnersCompleteTo,
    long confirmedMillisAgo) {

  /** Copies the list. */
  public PulledRecords {
    items = List.copyOf(items);
  }

  static PulledRecords decode(String ip, StoreRecords records) {
    List<StoredItem> items = new ArrayList<>();
    records.getOperatorsList().forEach(entry -> items.add(item(entry)));
    records.getRunnersList().forEach(entry -> items.add(item(entry)));
    return new PulledRecords(
        ip,
        items,
        records.getOperatorsCompleteTo(),
        records.getRunnersCompleteTo(),
        records.getConfirmedMsAgo());
  }

  private static StoredItem item(StoredEntry entry) {
    byte @Nullable [] value = entry.getValue().isEmpty() ? null : entry.getValue().toByteArray();
    return new StoredItem(entry.getKey(), entry.getRevision(), value);
  }
}
