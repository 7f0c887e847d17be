package org.sequoiahub.watcher;

import org.sequoiahub.platform.ConfigurationClient.Listing;
import org.sequoiahub.schema.wire.DigestAnswer;
import org.sequoiahub.schema.wire.Envelope;
import org.sequoiahub.schema.wire.Update;
import org.sequoiahub.wire.WireConnection;

/** What the watcher's duty is told. */
sealed interface WatcherEvent {

  /** The configuration service answered. */
  record ListingRead(Listing listing) implements WatcherEvent {}

  /** The host list was read. */
  record HostListRead(byte[] json) implements WatcherEvent {}

  /** A local process or a peer sent a message. */
  record MessageReceived(WireConnection connection, Envelope message) implements WatcherEvent {}

  /** A connection is gone. */
  record ConnectionClosed(WireConnection connection) implements WatcherEvent {}

  /** A peer answered a digest. */
  record PeerDigestReceived(String peer, DigestAnswer answer) implements WatcherEvent {}

  /** A peer sent what was fetched from it. */
  record PeerUpdateReceived(String peer, Update update) implements WatcherEvent {}

  /** A peer could not be reached. */
  record PeerUnreachable(String peer) implements WatcherEvent {}
}
