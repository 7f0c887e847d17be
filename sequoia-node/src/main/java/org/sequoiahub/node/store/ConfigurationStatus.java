package org.sequoiahub.node.store;

/**
 * Which configuration a host uses, for operators.
 *
 * @param version the operator's number of it; -1 if none is in force
 * @param revision the store's revision of its record
 * @param fromPeer whether another host passed it on
 * @param inForceSinceMillis since when it is in force
 * @param confirmedMillis when the store, or a host that others rely on, last had nothing newer
 */
public record ConfigurationStatus(
    long version, long revision, boolean fromPeer, long inForceSinceMillis, long confirmedMillis) {

  static final ConfigurationStatus NONE =
      new ConfigurationStatus(-1, 0, false, Long.MIN_VALUE / 2, Long.MIN_VALUE / 2);

  ConfigurationStatus confirmedAt(long millis) {
    return new ConfigurationStatus(
        version, revision, fromPeer, inForceSinceMillis, Math.max(confirmedMillis, millis));
  }
}
