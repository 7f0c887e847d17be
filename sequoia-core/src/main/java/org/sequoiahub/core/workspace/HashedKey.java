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

  /** The value for a request without a usable key. No key is assumed to hash to it. */
  public static final HashedKey NONE = new HashedKey(0);

  /** Returns whether there is a key. */
  public boolean isPresent() {
    return value != NONE.value;
  }
}
