package org.sequoiahub.core.workspace;

import static java.nio.charset.StandardCharsets.UTF_8;
import static java.util.Objects.requireNonNull;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import java.security.SecureRandom;

/**
 * Hashes access keys with a secret of this process.
 *
 * <p>Without the secret, nobody can find two keys with the same hash, or learn from the duration of
 * a lookup how much of a guessed key is correct.
 */
public final class KeyHasher {

  private final HashFunction hash;

  private KeyHasher(HashFunction hash) {
    this.hash = hash;
  }

  /** Creates a hasher with a secret drawn from {@code random}. */
  public static KeyHasher withRandomSecret(SecureRandom random) {
    return new KeyHasher(Hashing.sipHash24(random.nextLong(), random.nextLong()));
  }

  /** Returns the hash of a key's clear text. */
  public HashedKey hash(String key) {
    requireNonNull(key, "key must not be null");
    return new HashedKey(hash.hashString(key, UTF_8).asLong());
  }
}
