package org.sequoiahub.node.peer;

import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.sequoiahub.schema.peer.StoreRecords;
import org.sequoiahub.schema.peer.StoredEntry;
import org.sequoiahub.usersplatform.StoredItem;

/**
 * Store records pulled from another host.
 *
 * @param ip IP address of that host
 * @param items its records that are newer than the requested revisions
 * @param operatorsCompleteTo store revision up to which it has all operators' records
 * @param runnersCompleteTo store revision up to which it has all runners' entries
 * @param confirmedMillisAgo how long ago it last confirmed that there was no newer operators'
 *     record
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
