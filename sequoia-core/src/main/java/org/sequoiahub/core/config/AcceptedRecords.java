package org.sequoiahub.core.config;

import static java.util.Objects.requireNonNull;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;
import org.sequoiahub.core.record.PlatformRecord;
import org.sequoiahub.core.record.RecordParseResult;
import org.sequoiahub.core.record.RecordParser;
import org.sequoiahub.core.record.RecordProblem;

/**
 * The records in force on one process: per key the highest acceptable revision ever offered.
 *
 * <p>The result does not depend on the order, the source or the number of offers. A configuration
 * service that answers from an older replica, or a peer that lags, can therefore never take a newer
 * record out of force. Deleted records stay as tombstones for the same reason.
 *
 * <p>Not thread-safe: one duty owns it.
 */
public final class AcceptedRecords {

  private static final byte[] NO_VALUE = new byte[0];

  /** Number of buckets that a digest is made of. */
  public static final int BUCKET_COUNT = 256;

  private final RecordParser parser;
  private final Retention retention;
  private final Map<String, Entry> accepted = new TreeMap<>();
  private final Map<String, RefusedRecord> refused = new HashMap<>();
  private final long[] bucketHashes = new long[BUCKET_COUNT];
  private long highestRevision;
  private long liveCount;

  /**
   * Creates an empty set.
   *
   * @param parser reads values
   * @param keep what is kept of each record
   */
  public AcceptedRecords(RecordParser parser, Retention keep) {
    this.parser = requireNonNull(parser, "parser must not be null");
    this.retention = requireNonNull(keep, "keep must not be null");
  }

  /** What is kept of each record; keeping both would double the memory of the largest state. */
  public enum Retention {
    /** The stored value, to pass on; {@link #record} finds nothing. */
    VALUES,
    /** The parsed record, to use; stored records are empty. */
    PARSED
  }

  /** Offers one record, from the service or from a peer. */
  public OfferResult offer(StoredRecord record) {
    requireNonNull(record, "record must not be null");
    Entry current = accepted.get(record.key());
    if (current != null && current.stored.revision() >= record.revision()) {
      return new OfferResult.NotNewer();
    }
    if (record.deleted()) {
      accept(record, current, Optional.empty());
      return new OfferResult.Accepted();
    }
    return parser
        .parse(record.key(), record.value())
        .fold(
            valid -> {
              accept(record, current, Optional.of(valid.record()));
              return new OfferResult.Accepted();
            },
            invalid -> refuse(record, invalid));
  }

  /** Returns the parsed record in force under {@code key}. */
  public Optional<PlatformRecord> record(String key) {
    Entry entry = accepted.get(key);
    return entry == null ? Optional.empty() : Optional.ofNullable(entry.parsed);
  }

  /** Returns the stored record, or tombstone, in force under {@code key}. */
  public Optional<StoredRecord> stored(String key) {
    return Optional.ofNullable(accepted.get(key)).map(entry -> entry.stored);
  }

  /** Returns all stored records and tombstones, ordered by key. */
  public List<StoredRecord> all() {
    return accepted.values().stream().map(entry -> entry.stored).toList();
  }

  /** Returns how many records are in force, tombstones not counted. */
  public long size() {
    return liveCount;
  }

  /** Returns the highest revision in force. */
  public long highestRevision() {
    return highestRevision;
  }

  /** Returns the records that were refused and not replaced by an acceptable one since. */
  public Collection<RefusedRecord> refused() {
    return Collections.unmodifiableCollection(refused.values());
  }

  /** Returns one hash a bucket over the keys and revisions in force. */
  public long[] digest() {
    return bucketHashes.clone();
  }

  /** Returns the keys and revisions held in the buckets whose hash differs from {@code theirs}. */
  public Map<String, Long> revisionsInDifferingBuckets(long[] theirs) {
    Map<String, Long> held = new TreeMap<>();
    if (Arrays.equals(bucketHashes, theirs)) {
      return held;
    }
    for (Entry entry : accepted.values()) {
      if (bucketHashes[entry.bucket] != theirs[entry.bucket]) {
        held.put(entry.stored.key(), entry.stored.revision());
      }
    }
    return held;
  }

  /** Returns the keys in {@code theirs} that are held here in no or an older revision. */
  public List<String> missingOrOutdatedKeys(Map<String, Long> theirs) {
    List<String> keys = new ArrayList<>();
    theirs.forEach(
        (key, revision) -> {
          Entry mine = accepted.get(key);
          if (mine == null || mine.stored.revision() < revision) {
            keys.add(key);
          }
        });
    return keys;
  }

  /**
   * Returns tombstones for the records that a complete listing no longer has.
   *
   * <p>A listing read at a revision below a record's own says nothing about that record: an older
   * replica of the service lists what was there before it. Such records stay in force.
   */
  public List<StoredRecord> tombstonesForUnlisted(
      Collection<String> listedKeys, long listRevision) {
    List<StoredRecord> gone = new ArrayList<>();
    for (Entry entry : accepted.values()) {
      StoredRecord mine = entry.stored;
      boolean listed = listedKeys.contains(mine.key());
      if (!mine.deleted() && !listed && mine.revision() < listRevision) {
        gone.add(new StoredRecord(mine.key(), listRevision, true, new byte[0]));
      }
    }
    return gone;
  }

  private void accept(
      StoredRecord record, @Nullable Entry previous, Optional<PlatformRecord> parsed) {
    int bucket = previous == null ? bucketOf(record.key()) : previous.bucket;
    if (previous != null) {
      bucketHashes[bucket] ^= hash(previous.stored);
    }
    bucketHashes[bucket] ^= hash(record);
    liveCount +=
        (record.deleted() ? 0 : 1) - (previous == null || previous.stored.deleted() ? 0 : 1);
    accepted.put(
        record.key(),
        retention == Retention.VALUES
            ? new Entry(record, null, bucket)
            : new Entry(withoutValue(record), parsed.orElse(null), bucket));
    highestRevision = Math.max(highestRevision, record.revision());
    RefusedRecord earlier = refused.get(record.key());
    if (earlier != null && earlier.revision() < record.revision()) {
      refused.remove(record.key());
    }
  }

  private OfferResult refuse(StoredRecord record, RecordParseResult.Invalid invalid) {
    RefusedRecord earlier = refused.get(record.key());
    if (earlier == null || earlier.revision() < record.revision()) {
      refused.put(
          record.key(), new RefusedRecord(record.key(), record.revision(), invalid.problems()));
    }
    return new OfferResult.Refused(invalid.problems());
  }

  private static int bucketOf(String key) {
    return Hashing.murmur3_32_fixed().hashString(key, StandardCharsets.UTF_8).asInt()
        & (BUCKET_COUNT - 1);
  }

  private static long hash(StoredRecord record) {
    return Hashing.murmur3_128()
        .newHasher()
        .putString(record.key(), StandardCharsets.UTF_8)
        .putLong(record.revision())
        .hash()
        .asLong();
  }

  /**
   * A refused record, for operators to see.
   *
   * @param key the record's key
   * @param revision the refused revision
   * @param problems why it was refused
   */
  public record RefusedRecord(String key, long revision, List<RecordProblem> problems) {}

  private static StoredRecord withoutValue(StoredRecord record) {
    return new StoredRecord(record.key(), record.revision(), record.deleted(), NO_VALUE);
  }

  private record Entry(StoredRecord stored, @Nullable PlatformRecord parsed, int bucket) {}
}
