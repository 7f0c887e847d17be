package org.sequoiahub.core.quarantine;

import static java.nio.charset.StandardCharsets.UTF_8;
import static java.util.Objects.requireNonNull;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import java.util.zip.CRC32C;

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
  private static final long LOWER_HALF = 0xffff_ffffL;

  private RequestFingerprint() {}

  /** Returns the cheap half of the fingerprint of a request to a plain service. */
  public static int screenPlain(String method, String host, String pathAndQuery, byte[] body) {
    return checksum(body, method, host, pathAndQuery);
  }

  /**
   * Returns the fingerprint of a request to a plain service.
   *
   * @param host the host name that the caller used
   */
  public static long ofPlain(String method, String host, String pathAndQuery, byte[] body) {
    return of(body, method, host, pathAndQuery);
  }

  /** Returns the cheap half of the fingerprint of a request for a model. */
  public static int screenGeneration(String target, byte[] body) {
    return checksum(body, target);
  }

  /**
   * Returns the fingerprint of a request for a model.
   *
   * @param target the model, with the adapter if it uses one
   */
  public static long ofGeneration(String target, byte[] body) {
    return of(body, target);
  }

  /**
   * Returns the fingerprint of the load of an adapter.
   *
   * @param target the model with the adapter
   * @param version the adapter's version; 0 for the newest
   */
  public static long ofLoad(String target, int version) {
    return of(new byte[0], LOAD, target, Integer.toString(version));
  }

  /** Returns the cheap half of a fingerprint. */
  public static int screen(long fingerprint) {
    return (int) (fingerprint >>> Integer.SIZE);
  }

  /** Returns a fingerprint as logs show it. */
  public static String text(long fingerprint) {
    return String.format("%016x", fingerprint);
  }

  private static int checksum(byte[] body, String... parts) {
    CRC32C sum = new CRC32C();
    sum.update(requireNonNull(body, "body must not be null"));
    for (String part : parts) {
      byte[] bytes = requireNonNull(part, "part must not be null").getBytes(UTF_8);
      sum.update(bytes.length);
      sum.update(bytes);
    }
    return (int) sum.getValue();
  }

  /** Each part with its length, so that no two lists of parts have the same bytes. */
  private static long of(byte[] body, String... parts) {
    Hasher hasher = Hashing.sha256().newHasher();
    for (String part : parts) {
      byte[] bytes = part.getBytes(UTF_8);
      hasher.putInt(bytes.length).putBytes(bytes);
    }
    long lower = hasher.putBytes(body).hash().asLong() & LOWER_HALF;
    return ((long) checksum(body, parts) << Integer.SIZE) | lower;
  }
}
