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
 * Holds the records in force in one process: for each key, the highest valid revision offered so
 * far.
 *
 * <p>The result does not depend on the order, the source or the number of offers. A configuration
 * service that responds from an older replica, or a peer that lags, can therefore never replace a
 * newer record. Deleted records are kept as tombstones for the same reason.
 *
 * <p>Not thread-safe: it is confined to one duty.
 */
public final class AcceptedRecords {

  private static final byte[] NO_VALUE = new byte[0];

  /** Number of buckets in a digest; a power of two. */
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
   * @param parser parses and validates values
   * @param retention which form of each record is retained
   */
  public AcceptedRecords(RecordParser parser, Retention retention) {
    this.parser = requireNonNull(parser, "parser must not be null");
    this.retention = requireNonNull(retention, "retention must not be null");
  }

  /**
   * Form in which records are retained. Retaining both would double the memory of a large state.
   */
  public enum Retention {
    /** Retains the stored value, to forward it; {@link #record} returns empty. */
    VALUES,
    /** Retains the parsed record, to use it; stored records have an empty value. */
    PARSED
  }

  /** Accepts a record from the configuration service or a peer if it is newer and valid. */
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

  /** Returns the refused records that no newer accepted record has replaced. */
  public Collection<RefusedRecord> refused() {
    return Collections.unmodifiableCollection(refused.values());
  }

  /** Returns one hash per bucket over the keys and revisions in force. */
  public long[] digest() {
    return bucketHashes.clone();
  }

  /**
   * Returns the keys and revisions in the buckets whose hash differs from the peer's.
   *
   * @param peerDigest the peer's {@link #digest}
   */
  public Map<String, Long> revisionsInDifferingBuckets(long[] peerDigest) {
    Map<String, Long> revisions = new TreeMap<>();
    if (Arrays.equals(bucketHashes, peerDigest)) {
      return revisions;
    }
    for (Entry entry : accepted.values()) {
      if (bucketHashes[entry.bucket] != peerDigest[entry.bucket]) {
        revisions.put(entry.stored.key(), entry.stored.revision());
      }
    }
    return revisions;
  }

  /**
   * Returns the keys that are missing here or held in an older revision than the peer's.
   *
   * @param peerRevisions the peer's revisions by key
   */
  public List<String> missingOrOutdatedKeys(Map<String, Long> peerRevisions) {
    List<String> keys = new ArrayList<>();
    peerRevisions.forEach(
        (key, revision) -> {
          Entry own = accepted.get(key);
          if (own == null || own.stored.revision() < revision) {
            keys.add(key);
          }
        });
    return keys;
  }

  /**
   * Returns tombstones for the records that a complete listing no longer contains.
   *
   * <p>Records whose revision is not below the listing's stay in force: an older replica of the
   * service may return a listing from before they were written, which does not mean that they were
   * deleted.
   */
  public List<StoredRecord> tombstonesForUnlisted(
      Collection<String> listedKeys, long listRevision) {
    List<StoredRecord> tombstones = new ArrayList<>();
    for (Entry entry : accepted.values()) {
      StoredRecord own = entry.stored;
      boolean listed = listedKeys.contains(own.key());
      if (!own.deleted() && !listed && own.revision() < listRevision) {
        tombstones.add(new StoredRecord(own.key(), listRevision, true, new byte[0]));
      }
    }
    return tombstones;
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
   * A refused record, as reported to operators.
   *
   * @param key the record's key
   * @param revision the refused revision
   * @param problems why the record is invalid
   */
  public record RefusedRecord(String key, long revision, List<RecordProblem> problems) {}

  private static StoredRecord withoutValue(StoredRecord record) {
    return new StoredRecord(record.key(), record.revision(), record.deleted(), NO_VALUE);
  }

  private record Entry(StoredRecord stored, @Nullable PlatformRecord parsed, int bucket) {}
}
