package org.sequoiahub.core.workspace;

/**
 * A keyed hash of an access key: it tells keys apart within one process and says nothing of them.
 *
 * <p>The clear text of a key is kept nowhere beyond decoding, so that no log line, metric or heap
 * dump can show one that still opens the door.
 *
 * @param value the hash
 */
public record HashedKey(long value) {

  /** A request without a usable key. No key is taken to hash to it. */
  public static final HashedKey NONE = new HashedKey(0);

  /** Returns whether there is a key. */
  public boolean isPresent() {
    return value != NONE.value;
  }
}
