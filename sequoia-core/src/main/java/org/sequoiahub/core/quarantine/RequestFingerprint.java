package org.sequoiahub.core.quarantine;

import static java.nio.charset.StandardCharsets.UTF_8;
import static java.util.Objects.requireNonNull;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import java.util.List;
import java.util.Locale;
import java.util.stream.Stream;
import java.util.zip.CRC32C;
import org.jspecify.annotations.Nullable;

/**
 * A 64-bit fingerprint by which every host recognizes a repeated request.
 *
 * <p>It covers what the upstream processes and leaves out what differs between attempts: the
 * request id, the deadline, the last event that the caller received, and the caller's address, as
 * callers use several. The fingerprint of a model request covers the model and the body: the same
 * prompt terminates an engine whatever path it was sent to. The body itself is not sent to other
 * hosts.
 *
 * <p>The upper half is a CRC-32C checksum. It costs 1 microsecond for a body of 14 kB and suffices
 * to rule out for nearly all requests that terminations are on record. The lower half is part of a
 * SHA-256, which takes 0.5 to 1.8 ms for the same body with the compiler settings that hosts run
 * with. It is computed only if the checksum is on record or a runner terminated.
 */
public final class RequestFingerprint {

  private static final String LOAD = "load";
  private static final byte[] NO_BODY = {};
  private static final long LOWER_HALF = 0xffff_ffffL;

  private final byte[] body;
  private final List<byte[]> parts;
  private final int checksum;
  private @Nullable Long value;

  private RequestFingerprint(byte[] body, String... parts) {
    this.body = requireNonNull(body, "body must not be null");
    this.parts = Stream.of(parts).map(part -> part.getBytes(UTF_8)).toList();
    this.checksum = computeChecksum();
  }

  private RequestFingerprint(long value) {
    this.body = NO_BODY;
    this.parts = List.of();
    this.checksum = checksumOf(value);
    this.value = value;
  }

  /** Returns the fingerprint with a known value, as that of a part. */
  public static RequestFingerprint ofValue(long value) {
    return new RequestFingerprint(value);
  }

  /**
   * Returns the fingerprint of a request to a plain service.
   *
   * @param host the host name that the caller used
   */
  public static RequestFingerprint ofPlain(
      String method, String host, String pathAndQuery, byte[] body) {
    return new RequestFingerprint(body, method, host, pathAndQuery);
  }

  /**
   * Returns the fingerprint of a request for a model.
   *
   * @param target the model, with the adapter if it uses one
   */
  public static RequestFingerprint ofGeneration(String target, byte[] body) {
    return new RequestFingerprint(body, target);
  }

  /**
   * Returns the fingerprint of the load of an adapter.
   *
   * @param target the model with the adapter
   * @param version the adapter's version; 0 for the newest
   */
  public static RequestFingerprint ofLoad(String target, int version) {
    return new RequestFingerprint(NO_BODY, LOAD, target, Integer.toString(version));
  }

  /**
   * Returns the fingerprint of a part of prompts.
   *
   * @param id the part's id, a hexadecimal number in any case
   */
  public static long ofPart(String id) {
    return Hashing.sipHash24().hashString(id.toLowerCase(Locale.ROOT), UTF_8).asLong();
  }

  /** Returns the upper half of the fingerprint, which is cheap to compute. */
  public int checksum() {
    return checksum;
  }

  /** Returns the whole fingerprint, which is computed on the first call. */
  public long value() {
    Long known = value;
    if (known == null) {
      known = ((long) checksum << Integer.SIZE) | lowerHalf();
      value = known;
    }
    return known;
  }

  /** Returns the size of the body that is kept to compute the value (bytes). */
  int retainedBytes() {
    return body.length;
  }

  /** Returns the checksum half of a fingerprint, equal to {@link #checksum()} of its request. */
  public static int checksumOf(long value) {
    return (int) (value >>> Integer.SIZE);
  }

  /** Formats a fingerprint for logs, as 16 hexadecimal digits. */
  public static String format(long value) {
    return String.format("%016x", value);
  }

  private int computeChecksum() {
    CRC32C sum = new CRC32C();
    sum.update(body);
    for (byte[] part : parts) {
      sum.update(part.length);
      sum.update(part);
    }
    return (int) sum.getValue();
  }

  /** Hashes each part with its length, so that no two lists of parts yield the same input. */
  private long lowerHalf() {
    Hasher hasher = Hashing.sha256().newHasher();
    for (byte[] part : parts) {
      hasher.putInt(part.length).putBytes(part);
    }
    return hasher.putBytes(body).hash().asLong() & LOWER_HALF;
  }
}
