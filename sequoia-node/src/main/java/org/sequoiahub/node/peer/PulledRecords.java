package org.sequoiahub.node.peer;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.sequoiahub.core.store.StorePosition;
import org.sequoiahub.schema.peer.StoreRecords;
import org.sequoiahub.schema.peer.StoredEntry;
import org.sequoiahub.usersplatform.StoredItem;

/**
 * Store records pulled from another host.
 *
 * @param ip IP address of that host
 * @param items its records that are later than the requested positions
 * @param kept its records that the restored store lacks
 * @param operatorsCompleteTo store position up to which it has all operators' records
 * @param runnersCompleteTo store position up to which it has all runners' entries
 * @param confirmedMillisAgo how long ago it last confirmed that there was no newer operators'
 *     record
 */
public record PulledRecords(
    String ip,
    List<StoredItem> items,
    List<StoredItem> kept,
    StorePosition operatorsCompleteTo,
    StorePosition runnersCompleteTo,
    long confirmedMillisAgo) {

  /** Copies the lists. */
  public PulledRecords {
    items = List.copyOf(items);
    kept = List.copyOf(kept);
  }

  /** Returns records of which it is not known up to which positions they are complete. */
  public static PulledRecords incomplete(String ip, List<StoredItem> items) {
    return new PulledRecords(ip, items, List.of(), StorePosition.NONE, StorePosition.NONE, 0);
  }

  /**
   * Decodes the answer of a host.
   *
   * @throws IOException if a value cannot be inflated
   */
  static PulledRecords decode(String ip, StoreRecords records) throws IOException {
    List<StoredItem> items = items(records.getOperatorsList());
    items.addAll(items(records.getRunnersList()));
    return new PulledRecords(
        ip,
        items,
        items(records.getKeptList()),
        StateCodec.decodePosition(records.getOperatorsEra(), records.getOperatorsCompleteTo()),
        StateCodec.decodePosition(records.getRunnersEra(), records.getRunnersCompleteTo()),
        records.getConfirmedMsAgo());
  }

  private static List<StoredItem> items(List<StoredEntry> entries) throws IOException {
    List<StoredItem> items = new ArrayList<>();
    for (StoredEntry entry : entries) {
      items.add(item(entry));
    }
    return items;
  }

  private static StoredItem item(StoredEntry entry) throws IOException {
    byte @Nullable [] value = null;
    if (!entry.getDeflatedValue().isEmpty()) {
      value = DeflatedValues.inflate(entry.getDeflatedValue());
    } else if (!entry.getValue().isEmpty()) {
      value = entry.getValue().toByteArray();
    }
    StorePosition position = StateCodec.decodePosition(entry.getEra(), entry.getRevision());
    return new StoredItem(entry.getKey(), position, value);
  }
}
