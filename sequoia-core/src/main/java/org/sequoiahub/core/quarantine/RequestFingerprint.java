package org.sequoiahub.core.quarantine;

import static java.nio.charset.StandardCharsets.UTF_8;
import static java.util.Objects.requireNonNull;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;

/**
 * A number by which every host knows a request again that a caller brings a second time.
 *
 * <p>It covers the caller, the method, the path and the body. It leaves out what changes from one
 * attempt of the caller to the next: the request's id, its deadline and the last event it has. The
 * body itself is neither kept nor told to other hosts.
 */
public final class RequestFingerprint {

  private RequestFingerprint() {}

  /**
   * Returns the fingerprint of a request.
   *
   * <p>The first 64 bits of a SHA-256: a caller who knows how to end runners must not be able to
   * craft a request that has the fingerprint of another caller's.
   *
   * @param caller the IP number that the request came from
   * @param host the host name that the caller used
   */
  public static long of(
      String caller, String method, String host, String pathAndQuery, byte[] body) {
    Hasher hasher = Hashing.sha256().newHasher();
    add(hasher, requireNonNull(caller, "caller must not be null").getBytes(UTF_8));
    add(hasher, requireNonNull(method, "method must not be null").getBytes(UTF_8));
    add(hasher, requireNonNull(host, "host must not be null").getBytes(UTF_8));
    add(hasher, requireNonNull(pathAndQuery, "pathAndQuery must not be null").getBytes(UTF_8));
    add(hasher, requireNonNull(body, "body must not be null"));
    return hasher.hash().asLong();
  }

  /** Returns a fingerprint as logs show it. */
  public static String text(long fingerprint) {
    return String.format("%016x", fingerprint);
  }

  /** With its length, so that no two lists of parts have the same bytes. */
  private static void add(Hasher hasher, byte[] part) {
    hasher.putInt(part.length).putBytes(part);
  }
}
