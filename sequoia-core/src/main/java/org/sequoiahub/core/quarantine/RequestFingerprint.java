package org.sequoiahub.core.quarantine;

import static java.nio.charset.StandardCharsets.UTF_8;
import static java.util.Objects.requireNonNull;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import java.util.List;
import java.util.stream.Stream;
import java.util.zip.CRC32C;
import org.jspecify.annotations.Nullable;

/**
 * A number by which every host knows a request again that is brought a second time.
 *
 * <p>It covers what the upstream works on and leaves out what changes from one attempt to the next:
 * the request's id, its deadline, the last event that the caller has, and the address that it came
 * from, as callers come from several. A model request is its model and its body: the same prompt
 * ends an engine by whatever path it came. The body itself is neither kept nor told to other hosts.
 *
 * <p>Its upper half is a checksum, which costs 1 microsecond for a body of 14 kB, and suffices to
 * say of nearly all requests that nothing is known against them. Its lower half, of a SHA-256,
 * takes 0.5 to 1.8 ms for the same body with the compiler that hosts run with (measured beside
 * other work), and is worked out only where the checksum is known or a runner ended.
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

  /** Returns the cheap half. */
  public int checksum() {
    return checksum;
  }

  /** Returns the whole number, which is worked out when it is first asked for. */
  public long value() {
    Long known = value;
    if (known == null) {
      known = ((long) checksum << Integer.SIZE) | lowerHalf();
      value = known;
    }
    return known;
  }

  /** Returns the cheap half of a fingerprint that was told as a number. */
  public static int checksumOf(long value) {
    return (int) (value >>> Integer.SIZE);
  }

  /** Returns a fingerprint as logs show it. */
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

  /** Each part with its length, so that no two lists of parts have the same bytes. */
  private long lowerHalf() {
    Hasher hasher = Hashing.sha256().newHasher();
    for (byte[] part : parts) {
      hasher.putInt(part.length).putBytes(part);
    }
    return hasher.putBytes(body).hash().asLong() & LOWER_HALF;
  }
}
