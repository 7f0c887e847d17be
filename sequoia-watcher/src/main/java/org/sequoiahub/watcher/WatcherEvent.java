package org.sequoiahub.watcher;

import org.sequoiahub.platform.ConfigurationClient.Listing;
import org.sequoiahub.schema.wire.DigestAnswer;
import org.sequoiahub.schema.wire.Envelope;
import org.sequoiahub.schema.wire.Update;
import org.sequoiahub.wire.WireConnection;

/** An event that the watcher's duty handles. */
sealed interface WatcherEvent {

  /** A listing was read from the configuration service. */
  record ListingRead(Listing listing) implements WatcherEvent {}

  /** The published host list was read, as {@code json}. */
  record HostListRead(byte[] json) implements WatcherEvent {}

  /** A local process or a peer sent a message. */
  record MessageReceived(WireConnection connection, Envelope message) implements WatcherEvent {}

  /** A connection was closed, by either side or by a failure. */
  record ConnectionClosed(WireConnection connection) implements WatcherEvent {}

  /** A peer answered the digest that was sent to it. */
  record PeerDigestReceived(String peer, DigestAnswer answer) implements WatcherEvent {}

  /** A peer answered a fetch with the requested records and host list. */
  record PeerUpdateReceived(String peer, Update update) implements WatcherEvent {}

  /** A peer could not be reached, or its connection was lost before it answered. */
  record PeerUnreachable(String peer) implements WatcherEvent {}
}
