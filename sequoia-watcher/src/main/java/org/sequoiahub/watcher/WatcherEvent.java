package org.sequoiahub.watcher;

import org.sequoiahub.platform.ConfigurationClient.Listing;
import org.sequoiahub.schema.wire.DigestAnswer;
import org.sequoiahub.schema.wire.Envelope;
import org.sequoiahub.schema.wire.Update;
import org.sequoiahub.wire.WireConnection;

/** What the watcher's duty is told. */
sealed interface WatcherEvent {

  /** The configuration service answered. */
  record ServiceAnswered(Listing listing) implements WatcherEvent {}

  /** The host list was read. */
  record HostsRead(byte[] json) implements WatcherEvent {}

  /** A local process or a peer sent a message. */
  record Received(WireConnection connection, Envelope message) implements WatcherEvent {}

  /** A connection is gone. */
  record Closed(WireConnection connection) implements WatcherEvent {}

  /** A peer answered a digest. */
  record PeerDigest(String peer, DigestAnswer answer) implements WatcherEvent {}

  /** A peer sent what was fetched from it. */
  record PeerUpdate(String peer, Update update) implements WatcherEvent {}

  /** A peer could not be reached. */
  record PeerLost(String peer) implements WatcherEvent {}
}
