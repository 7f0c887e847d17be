package org.sequoiahub.node.store;

/**
 * The configuration that a host uses, as reported to operators.
 *
 * @param version the version that the operator assigned; -1 if no configuration is in force
 * @param revision the store revision of its record
 * @param fromPeer whether it was received from another host
 * @param inForceSinceMillis when it came into force
 * @param confirmedMillis when the store, or a host on which others rely, last had no newer record
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
