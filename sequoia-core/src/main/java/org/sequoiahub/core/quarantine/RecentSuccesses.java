package org.sequoiahub.core.quarantine;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Remembers the successful responses of the last seconds, for terminations that become known after
 * them.
 *
 * <p>A request fails at one host and is served at another one before the hosts have exchanged the
 * termination, or before the termination of a silent runner is confirmed.
 *
 * <p>Fingerprints are kept in place of their values, which are expensive to compute; each retains
 * the body of its request. Not thread-safe.
 */
final class RecentSuccesses {

  /**
   * How long a success is remembered (ms): the termination of a silent runner is confirmed within 8
   * s and reaches all hosts within 3 s more.
   */
  static final long RETENTION_MILLIS = 12_000;

  /** Maximum number of successes. */
  static final int MAX_SUCCESSES = 4_096;

  /** Maximum size of the retained bodies (bytes). */
  static final long MAX_RETAINED_BYTES = 8L << 20;

  /** The last success by checksum, the oldest first. */
  private final Map<Integer, Success> byChecksum = new LinkedHashMap<>();

  private long retainedBytes;

  private record Success(RequestFingerprint fingerprint, long atMillis) {}

  /** Adds a success, and evicts the oldest ones that have expired or exceed a bound. */
  void add(RequestFingerprint fingerprint, long atMillis) {
    long lastMillis = atMillis;
    Success before = byChecksum.remove(fingerprint.checksum());
    if (before != null) {
      lastMillis = Math.max(atMillis, before.atMillis);
      retainedBytes -= before.fingerprint.retainedBytes();
    }
    byChecksum.put(fingerprint.checksum(), new Success(fingerprint, lastMillis));
    retainedBytes += fingerprint.retainedBytes();
    Iterator<Success> oldest = byChecksum.values().iterator();
    while (oldest.hasNext()) {
      Success success = oldest.next();
      if (byChecksum.size() <= MAX_SUCCESSES
          && retainedBytes <= MAX_RETAINED_BYTES
          && atMillis - success.atMillis < RETENTION_MILLIS) {
        return;
      }
      oldest.remove();
      retainedBytes -= success.fingerprint.retainedBytes();
    }
  }

  /** Returns when a request last succeeded; empty if no success is remembered. */
  Optional<Long> find(long fingerprint) {
    Success success = byChecksum.get(RequestFingerprint.checksumOf(fingerprint));
    return success != null && success.fingerprint.value() == fingerprint
        ? Optional.of(success.atMillis)
        : Optional.empty();
  }
}
