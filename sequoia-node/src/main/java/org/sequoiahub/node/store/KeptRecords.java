package org.sequoiahub.node.store;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import java.util.Collection;
import java.util.List;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;
import org.sequoiahub.usersplatform.StoredItem;

/**
 * The records that a host knows and that the restored store lacks, or has in an earlier form. Hosts
 * exchange them until the store has them again.
 *
 * <p>Used on the decision thread only.
 */
final class KeptRecords {

  /**
   * A record that is kept.
   *
   * @param item the record as it was read before the store was restored
   * @param content identifies its content, such as a version, in the same way on every host
   */
  private record Kept(StoredItem item, String content) {}

  private final TreeMap<String, Kept> kept = new TreeMap<>();
  private int checksum;

  void put(StoredItem item, String content) {
    Kept before = kept.put(item.key(), new Kept(item, content));
    if (before == null || !before.content.equals(content)) {
      computeChecksum();
    }
  }

  /** Keeps an operators' record; every host has the same bytes of it. */
  void putOperatorRecord(StoredItem item) {
    byte @Nullable [] value = item.value();
    put(item, Hashing.murmur3_128().hashBytes(value == null ? new byte[0] : value).toString());
  }

  void remove(String key) {
    if (kept.remove(key) != null) {
      computeChecksum();
    }
  }

  boolean contains(String key) {
    return kept.containsKey(key);
  }

  Collection<StoredItem> items() {
    return kept.isEmpty() ? List.of() : kept.values().stream().map(Kept::item).toList();
  }

  int size() {
    return kept.size();
  }

  /** Returns a number that is the same at hosts that keep the same records; 0 if none are kept. */
  int checksum() {
    return checksum;
  }

  private void computeChecksum() {
    if (kept.isEmpty()) {
      checksum = 0;
      return;
    }
    Hasher hasher = Hashing.murmur3_32_fixed().newHasher();
    kept.forEach(
        (key, record) ->
            hasher.putString(key, UTF_8).putByte((byte) 0).putString(record.content, UTF_8));
    int hash = hasher.hash().asInt();
    checksum = hash == 0 ? 1 : hash;
  }
}
