package org.sequoiahub.core.quarantine;

import static java.nio.charset.StandardCharsets.UTF_8;
import static java.util.Objects.requireNonNull;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;

/**
 * A number by which every host knows a request again that is brought a second time.
 *
 * <p>It covers what the upstream works on and leaves out what changes from one attempt to the next:
 * the request's id, its deadline, the last event that the caller has, and the address that it came
 * from, as callers come from several. A model request is its model and its body: the same prompt
 * ends an engine by whatever path it came. The body itself is neither kept nor told to other hosts.
 *
 * <p>The first 64 bits of a SHA-256: nobody must be able to craft a request that ends runners and
 * has the fingerprint of somebody else's.
 */
public final class RequestFingerprint {

  private static final String LOAD = "load";

  private RequestFingerprint() {}

  /**
   * Returns the fingerprint of a request to a plain service.
   *
   * @param host the host name that the caller used
   */
  public static long ofPlain(String method, String host, String pathAndQuery, byte[] body) {
    Hasher hasher = Hashing.sha256().newHasher();
    add(hasher, requireNonNull(method, "method must not be null"));
    add(hasher, requireNonNull(host, "host must not be null"));
    add(hasher, requireNonNull(pathAndQuery, "pathAndQuery must not be null"));
    return finish(hasher, body);
  }

  /**
   * Returns the fingerprint of a request for a model.
   *
   * @param target the model, with the adapter if it uses one
   */
  public static long ofGeneration(String target, byte[] body) {
    Hasher hasher = Hashing.sha256().newHasher();
    add(hasher, requireNonNull(target, "target must not be null"));
    return finish(hasher, body);
  }

  /**
   * Returns the fingerprint of the load of an adapter.
   *
   * @param target the model with the adapter
   * @param version the adapter's version; 0 for the newest
   */
  public static long ofLoad(String target, int version) {
    Hasher hasher = Hashing.sha256().newHasher();
    add(hasher, LOAD);
    add(hasher, requireNonNull(target, "target must not be null"));
    return hasher.putInt(version).hash().asLong();
  }

  /** Returns a fingerprint as logs show it. */
  public static String text(long fingerprint) {
    return String.format("%016x", fingerprint);
  }

  /** With its length, so that no two lists of parts have the same bytes. */
  private static void add(Hasher hasher, String part) {
    byte[] bytes = part.getBytes(UTF_8);
    hasher.putInt(bytes.length).putBytes(bytes);
  }

  private static long finish(Hasher hasher, byte[] body) {
    return hasher.putBytes(requireNonNull(body, "body must not be null")).hash().asLong();
  }
}
