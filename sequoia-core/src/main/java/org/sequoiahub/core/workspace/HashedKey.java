package org.sequoiahub.core.workspace;

/**
 * A keyed hash of an access key. It distinguishes keys within one process and reveals nothing about
 * them.
 *
 * <p>The clear text of a key is not kept after decoding, so that no log line, metric or heap dump
 * can reveal a valid key.
 *
 * @param value the hash
 */
public record HashedKey(long value) {

  /**
   * The value for a request without a usable key. That a key hashes to this value is neglected: it
   * happens for one in 2<sup>64</sup> keys, and the key would then count as absent.
   */
  public static final HashedKey NONE = new HashedKey(0);

  /** Returns whether there is a key. */
  public boolean isPresent() {
    return value != NONE.value;
  }
}
