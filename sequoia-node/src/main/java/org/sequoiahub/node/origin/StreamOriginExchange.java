package org.sequoiahub.node.origin;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.sequoiahub.core.origin.StreamKey;
import org.sequoiahub.core.origin.StreamOrigin;
import org.sequoiahub.core.origin.StreamOrigins;
import org.sequoiahub.core.upstream.SoftwareVersion;
import org.sequoiahub.schema.peer.PeerDatagram;
import org.sequoiahub.schema.peer.StreamOriginAnswer;
import org.sequoiahub.schema.peer.StreamOriginQuery;
import org.sequoiahub.schema.peer.StreamOriginReceived;

/**
 * Tells a few other hosts where streams began, and asks them when a caller takes a stream up here.
 *
 * <p>An origin is sent to its keepers once the first event has gone to the caller, and again until
 * each of them has acknowledged it. If this host dies before, the origin is lost and the stream is
 * refused to its caller while the service has several versions.
 *
 * <p>Its methods must be called on the decision thread.
 */
public final class StreamOriginExchange implements OriginLookup, OriginRecorder {

  /** Maximum number of streams that are remembered. */
  private static final int CAPACITY = 50_000;

  /** How long a stream is remembered (ms): longer than streams last over all tries of callers. */
  private static final long RETENTION_MILLIS = 120_000;

  /** Delays between the transmissions of an origin to a keeper (ms). */
  private static final long[] RESEND_DELAYS_MILLIS = {30, 100, 300, 1_000};

  /**
   * Number of hosts that must name the same origin, so that another stream under the same id is
   * noticed. One suffices if no other host answers in time.
   */
  private static final int CONFIRMATIONS = 2;

  /** Interval at which hosts that have not answered are asked again (ms). */
  private static final long ASK_INTERVAL_MILLIS = 30;

  /** Time after which hosts that have not answered are assumed to know nothing (ms). */
  private static final long ASK_TIMEOUT_MILLIS = 150;

  private final StreamOrigins origins = new StreamOrigins(CAPACITY, RETENTION_MILLIS);
  private final OriginKeepers keepers;
  private final Supplier<PeerDatagram.Builder> datagrams;
  private final BiConsumer<String, byte[]> sender;
  private final List<Unacknowledged> unacknowledged = new ArrayList<>();
  private final Map<StreamKey, Search> searches = new HashMap<>();

  /** An origin that some keepers have not acknowledged. */
  private static final class Unacknowledged {
    final StreamKey key;
    final StreamOrigin origin;
    final Set<String> keepers;
    int resends;
    long dueMillis;

    Unacknowledged(StreamKey key, StreamOrigin origin, Set<String> keepers, long dueMillis) {
      this.key = key;
      this.origin = origin;
      this.keepers = keepers;
      this.dueMillis = dueMillis;
    }
  }

  /** A search for the origin of a stream. */
  private static final class Search {
    final Set<String> unanswered;
    final long endMillis;
    final List<Consumer<Optional<StreamOrigin>>> listeners = new ArrayList<>();
    Optional<StreamOrigin> found;
    int confirmations;
    long dueMillis;

    Search(Set<String> unanswered, Optional<StreamOrigin> own, long nowMillis) {
      this.unanswered = unanswered;
      this.found = own;
      this.confirmations = own.isPresent() ? 1 : 0;
      this.dueMillis = nowMillis + ASK_INTERVAL_MILLIS;
      this.endMillis = nowMillis + ASK_TIMEOUT_MILLIS;
    }
  }

  /**
   * Creates an exchange.
   *
   * @param datagrams creates datagrams of this host, without a body
   * @param sender sends bytes to an IP address
   */
  public StreamOriginExchange(
      OriginKeepers keepers,
      Supplier<PeerDatagram.Builder> datagrams,
      BiConsumer<String, byte[]> sender) {
    this.keepers = requireNonNull(keepers, "keepers must not be null");
    this.datagrams = requireNonNull(datagrams, "datagrams must not be null");
    this.sender = requireNonNull(sender, "sender must not be null");
  }

  @Override
  public void record(StreamKey key, StreamOrigin origin, long nowMillis) {
    origins.record(key, origin, nowMillis);
    Set<String> ips = new HashSet<>(keepers.keepers(key, nowMillis));
    if (!ips.isEmpty()) {
      send(ips, datagrams.get().setStreamOrigin(encode(key, origin)));
      unacknowledged.add(new Unacknowledged(key, origin, ips, nowMillis + RESEND_DELAYS_MILLIS[0]));
    }
  }

  @Override
  public void find(StreamKey key, long nowMillis, Consumer<Optional<StreamOrigin>> listener) {
    Optional<StreamOrigin> own = origins.find(key, nowMillis);
    boolean ambiguous = own.isEmpty() && origins.isKnown(key, nowMillis);
    Search search = searches.get(key);
    if (search == null) {
      Set<String> ips = new HashSet<>(keepers.asked(key, nowMillis));
      if (ips.isEmpty() || ambiguous) {
        listener.accept(own);
        return;
      }
      search = new Search(ips, own, nowMillis);
      searches.put(key, search);
      ask(key, search);
    }
    search.listeners.add(listener);
  }

  /** Sends again what was not acknowledged or answered, and ends searches that take too long. */
  public void tick(long nowMillis) {
    Iterator<Unacknowledged> pending = unacknowledged.iterator();
    while (pending.hasNext()) {
      Unacknowledged each = pending.next();
      if (nowMillis < each.dueMillis) {
        continue;
      }
      send(each.keepers, datagrams.get().setStreamOrigin(encode(each.key, each.origin)));
      each.resends++;
      if (each.resends >= RESEND_DELAYS_MILLIS.length) {
        pending.remove();
      } else {
        each.dueMillis = nowMillis + RESEND_DELAYS_MILLIS[each.resends];
      }
    }
    for (StreamKey key : List.copyOf(searches.keySet())) {
      Search search = searches.get(key);
      if (search != null && nowMillis >= search.endMillis) {
        end(key, search.found);
      } else if (search != null && nowMillis >= search.dueMillis) {
        search.dueMillis = nowMillis + ASK_INTERVAL_MILLIS;
        ask(key, search);
      }
    }
  }

  /** Returns whether the origin of any stream is being asked for. */
  public boolean isSearching() {
    return !searches.isEmpty();
  }

  /**
   * Handles another host's datagram about the origin of a stream; others are ignored.
   *
   * @param ip the other host's address
   */
  public void received(String ip, PeerDatagram datagram, long nowMillis) {
    switch (datagram.getBodyCase()) {
      case STREAM_ORIGIN -> receivedOrigin(ip, datagram.getStreamOrigin(), nowMillis);
      case STREAM_ORIGIN_RECEIVED ->
          receivedAcknowledgement(ip, datagram.getStreamOriginReceived());
      case STREAM_ORIGIN_QUERY -> receivedQuery(ip, datagram.getStreamOriginQuery(), nowMillis);
      case STREAM_ORIGIN_ANSWER -> receivedAnswer(ip, datagram.getStreamOriginAnswer(), nowMillis);
      default -> {
        // The other kinds belong to other receivers.
      }
    }
  }

  /** Remembers an origin that another host has sent, and acknowledges it. */
  private void receivedOrigin(
      String ip, org.sequoiahub.schema.peer.StreamOrigin message, long nowMillis) {
    StreamKey key = decode(message.getKey());
    decode(message.getService(), message.getVersion())
        .ifPresent(origin -> origins.record(key, origin, nowMillis));
    send(
        Set.of(ip),
        datagrams
            .get()
            .setStreamOriginReceived(StreamOriginReceived.newBuilder().setKey(encode(key))));
  }

  /** Records that a keeper has an origin. */
  private void receivedAcknowledgement(String ip, StreamOriginReceived message) {
    StreamKey key = decode(message.getKey());
    unacknowledged.removeIf(
        each -> each.key.equals(key) && each.keepers.remove(ip) && each.keepers.isEmpty());
  }

  /** Answers another host's question. */
  private void receivedQuery(String ip, StreamOriginQuery message, long nowMillis) {
    StreamKey key = decode(message.getKey());
    StreamOriginAnswer.Builder answer = StreamOriginAnswer.newBuilder().setKey(encode(key));
    if (origins.isKnown(key, nowMillis)) {
      Optional<StreamOrigin> origin = origins.find(key, nowMillis);
      answer
          .setKnown(true)
          .setService(origin.map(StreamOrigin::service).orElse(""))
          .setVersion(origin.map(known -> known.version().name()).orElse(""));
    }
    send(Set.of(ip), datagrams.get().setStreamOriginAnswer(answer));
  }

  /** Handles the answer to a question of this host. */
  private void receivedAnswer(String ip, StreamOriginAnswer message, long nowMillis) {
    StreamKey key = decode(message.getKey());
    Search search = searches.get(key);
    if (search == null || !search.unanswered.remove(ip)) {
      return;
    }
    Optional<StreamOrigin> origin = decode(message.getService(), message.getVersion());
    boolean contradicted =
        message.getKnown() && (origin.isEmpty() || !search.found.or(() -> origin).equals(origin));
    if (contradicted) {
      end(key, Optional.empty());
      return;
    }
    if (origin.isPresent()) {
      search.found = origin;
      search.confirmations++;
    }
    if (search.confirmations >= CONFIRMATIONS || search.unanswered.isEmpty()) {
      search.found.ifPresent(found -> origins.record(key, found, nowMillis));
      end(key, search.found);
    }
  }

  private void end(StreamKey key, Optional<StreamOrigin> origin) {
    Search search = searches.remove(key);
    if (search != null) {
      search.listeners.forEach(listener -> listener.accept(origin));
    }
  }

  private void ask(StreamKey key, Search search) {
    send(
        search.unanswered,
        datagrams.get().setStreamOriginQuery(StreamOriginQuery.newBuilder().setKey(encode(key))));
  }

  private void send(Set<String> ips, PeerDatagram.Builder datagram) {
    byte[] bytes = datagram.build().toByteArray();
    ips.forEach(ip -> sender.accept(ip, bytes));
  }

  private static org.sequoiahub.schema.peer.StreamOrigin.Builder encode(
      StreamKey key, StreamOrigin origin) {
    return org.sequoiahub.schema.peer.StreamOrigin.newBuilder()
        .setKey(encode(key))
        .setService(origin.service())
        .setVersion(origin.version().name());
  }

  private static org.sequoiahub.schema.peer.StreamKey.Builder encode(StreamKey key) {
    return org.sequoiahub.schema.peer.StreamKey.newBuilder().setHigh(key.high()).setLow(key.low());
  }

  private static StreamKey decode(org.sequoiahub.schema.peer.StreamKey message) {
    return new StreamKey(message.getHigh(), message.getLow());
  }

  private static Optional<StreamOrigin> decode(String service, String version) {
    return service.isEmpty() || version.isEmpty()
        ? Optional.empty()
        : Optional.of(new StreamOrigin(service, SoftwareVersion.of(version)));
  }
}
