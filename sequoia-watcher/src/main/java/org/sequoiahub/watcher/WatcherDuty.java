package org.sequoiahub.watcher;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;
import org.sequoiahub.core.config.AcceptedRecords;
import org.sequoiahub.core.config.OfferResult;
import org.sequoiahub.core.config.StoredRecord;
import org.sequoiahub.core.fleet.Fleet;
import org.sequoiahub.core.fleet.Fleet.Host;
import org.sequoiahub.core.fleet.FleetJson;
import org.sequoiahub.core.record.DefaultRecordParser;
import org.sequoiahub.platform.ConfigurationClient.Listing;
import org.sequoiahub.runtime.duty.Duty;
import org.sequoiahub.runtime.log.EventLog;
import org.sequoiahub.runtime.settings.Endpoint;
import org.sequoiahub.schema.settings.WatcherSettings;
import org.sequoiahub.schema.wire.Digest;
import org.sequoiahub.schema.wire.DigestAnswer;
import org.sequoiahub.schema.wire.Envelope;
import org.sequoiahub.schema.wire.Fetch;
import org.sequoiahub.schema.wire.Update;
import org.sequoiahub.wire.CallListener;
import org.sequoiahub.wire.WireClient;
import org.sequoiahub.wire.WireClients;
import org.sequoiahub.wire.WireConnection;
import org.sequoiahub.wire.WireRecords;

/**
 * Holds the watcher's records and host list, and distributes them to local subscribers and to the
 * watchers of other hosts.
 *
 * <p>All state belongs to the thread of one {@link Duty}, except the fields that {@link #isReady}
 * and {@link #status} read.
 */
final class WatcherDuty {

  /** Maximum number of peers that a watcher queries at startup before it is ready. */
  private static final int INITIAL_PEER_COUNT = 5;

  private static final int RECORDS_PER_UPDATE = 2_000;

  private static final long STATUS_PERIOD_MILLIS = 250;

  private final WatcherSettings settings;
  private final WireClients clients;
  private final SplittableRandom random;
  private final EventLog log;
  private final AcceptedRecords records =
      new AcceptedRecords(new DefaultRecordParser(), AcceptedRecords.Retention.VALUES);
  private final Map<WireConnection, Subscriber> subscribers = new HashMap<>();
  private final Counter accepted;
  private final Counter refused;
  private @Nullable Duty<WatcherEvent> duty;
  private Fleet fleet = Fleet.EMPTY;
  private byte[] fleetJson = new byte[0];
  private boolean receivedFromAnySource;
  private @Nullable Set<String> pendingInitialPeers;
  private long nextExchangeMillis = Long.MIN_VALUE;
  private long nextStatusMillis = Long.MIN_VALUE;
  private volatile boolean caughtUp;
  private volatile Map<String, Object> status = Map.of();

  WatcherDuty(
      WatcherSettings settings,
      WireClients clients,
      SplittableRandom random,
      MetricRegistry metrics,
      EventLog log) {
    this.settings = settings;
    this.clients = clients;
    this.random = random;
    this.log = log;
    this.accepted = metrics.counter("records.accepted");
    this.refused = metrics.counter("records.refused");
    metrics.register(
        "records.highest_revision", (Gauge<Object>) () -> status.getOrDefault("revision", 0L));
  }

  /** Sets the duty that receives the answers of peers; called once, before the duty starts. */
  void attachTo(Duty<WatcherEvent> owner) {
    this.duty = owner;
  }

  /** Returns whether this watcher has caught up with its sources and peers. */
  boolean isReady() {
    return caughtUp;
  }

  /** Returns the status that the administration interface reports. */
  Map<String, Object> status() {
    return status;
  }

  void onFailure(Throwable failure) {
    log.warning("defect", "error", failure);
  }

  void handle(WatcherEvent event) {
    if (event instanceof WatcherEvent.ListingRead listingRead) {
      applyListing(listingRead.listing());
    } else if (event instanceof WatcherEvent.HostListRead hostListRead) {
      applyHostList(hostListRead.json());
    } else if (event instanceof WatcherEvent.MessageReceived received) {
      onMessage(received.connection(), received.message());
    } else if (event instanceof WatcherEvent.ConnectionClosed closed) {
      subscribers.remove(closed.connection());
    } else if (event instanceof WatcherEvent.PeerDigestReceived digest) {
      onPeerDigest(digest.peer(), digest.answer());
    } else if (event instanceof WatcherEvent.PeerUpdateReceived update) {
      applyRecords(recordsOf(update.update()), "peer");
      if (!update.update().getHosts().isEmpty()) {
        applyHostList(update.update().getHosts().toByteArray());
      }
      onPeerReconciled(update.peer());
    } else if (event instanceof WatcherEvent.PeerUnreachable unreachable) {
      removePendingPeer(unreachable.peer());
    }
  }

  void tick(long nowMillis) {
    if (pendingInitialPeers == null && fleet.revision() > 0) {
      queryInitialPeers();
    }
    if (nowMillis >= nextExchangeMillis) {
      nextExchangeMillis = nowMillis + settings.getExchangePeriodMs();
      pickRandom(peers(), 1).forEach(this::sendDigest);
    }
    if (nowMillis >= nextStatusMillis) {
      nextStatusMillis = nowMillis + STATUS_PERIOD_MILLIS;
      publishStatus();
    }
  }

  private void applyListing(Listing listing) {
    List<StoredRecord> offered = new ArrayList<>(listing.records());
    if (listing.complete()) {
      Set<String> listed =
          listing.records().stream().map(StoredRecord::key).collect(Collectors.toSet());
      offered.addAll(records.tombstonesForUnlisted(listed, listing.revision()));
    }
    applyRecords(offered, "service");
    receivedFromAnySource = true;
    checkCaughtUp();
  }

  private void applyRecords(List<StoredRecord> offered, String source) {
    List<StoredRecord> changes = new ArrayList<>();
    for (StoredRecord record : offered) {
      OfferResult result = records.offer(record);
      if (result instanceof OfferResult.Accepted) {
        accepted.inc();
        changes.add(record);
        log.debug(
            "record-accepted",
            "key",
            record.key(),
            "revision",
            record.revision(),
            "source",
            source);
      } else if (result instanceof OfferResult.Refused refusal) {
        refused.inc();
        log.warning(
            "record-refused",
            "key",
            record.key(),
            "revision",
            record.revision(),
            "problem",
            refusal.problems());
      }
    }
    if (changes.isEmpty()) {
      return;
    }
    log.info(
        "records-in-force",
        "count",
        changes.size(),
        "revision",
        records.highestRevision(),
        "source",
        source);
    sendToSubscribers(changes, false);
    if (caughtUp) {
      sendToPeers(changes);
    }
  }

  private void applyHostList(byte[] json) {
    Fleet offered;
    try {
      offered = FleetJson.parse(json);
    } catch (IllegalArgumentException e) {
      log.warning("hosts-refused", "problem", e.getMessage());
      return;
    }
    if (offered.revision() <= fleet.revision()) {
      return;
    }
    fleet = offered;
    fleetJson = json;
    log.info("hosts-in-force", "revision", fleet.revision());
    clients.retain(peers().stream().map(WatcherDuty::watcherEndpoint).collect(Collectors.toSet()));
    sendToSubscribers(List.of(), true);
  }

  private void onMessage(WireConnection connection, Envelope message) {
    long call = message.getCall();
    if (message.hasSubscribe()) {
      Subscriber subscriber = new Subscriber(call, message.getSubscribe().getHostsOnly());
      subscribers.put(connection, subscriber);
      sendSnapshot(connection, subscriber);
    } else if (message.hasDigest()) {
      connection.send(
          call, Envelope.newBuilder().setDigestAnswer(compareDigest(message.getDigest())));
    } else if (message.hasFetch()) {
      connection.send(call, Envelope.newBuilder().setUpdate(answerFetch(message.getFetch())));
    } else if (message.hasUpdate()) {
      applyRecords(recordsOf(message.getUpdate()), "peer");
    }
  }

  private DigestAnswer compareDigest(Digest digest) {
    long[] peerBuckets = digest.getBucketsList().stream().mapToLong(Long::longValue).toArray();
    DigestAnswer.Builder answer = DigestAnswer.newBuilder().setHostsRevision(fleet.revision());
    if (peerBuckets.length != AcceptedRecords.BUCKET_COUNT) {
      return answer.build();
    }
    Map<String, Long> held = records.revisionsInDifferingBuckets(peerBuckets);
    held.forEach(
        (key, revision) ->
            answer.addHeld(DigestAnswer.Held.newBuilder().setKey(key).setRevision(revision)));
    return answer.setEqual(held.isEmpty()).build();
  }

  private Update answerFetch(Fetch fetch) {
    Update.Builder update = Update.newBuilder();
    for (String key : fetch.getKeysList()) {
      records.stored(key).ifPresent(record -> update.addRecords(WireRecords.toWire(record)));
    }
    if (fetch.getHosts()) {
      addHosts(update);
    }
    return update.build();
  }

  private void onPeerDigest(String peer, DigestAnswer answer) {
    Map<String, Long> held =
        answer.getHeldList().stream()
            .collect(
                Collectors.toMap(
                    DigestAnswer.Held::getKey, DigestAnswer.Held::getRevision, Math::max));
    List<String> missing = records.missingOrOutdatedKeys(held);
    boolean hosts = answer.getHostsRevision() > fleet.revision();
    if (missing.isEmpty() && !hosts) {
      onPeerReconciled(peer);
      return;
    }
    Fetch fetch = Fetch.newBuilder().addAllKeys(missing).setHosts(hosts).build();
    callPeer(peer, Envelope.newBuilder().setFetch(fetch));
  }

  /** Handles that nothing newer is left to fetch from {@code peer}. */
  private void onPeerReconciled(String peer) {
    receivedFromAnySource = true;
    removePendingPeer(peer);
  }

  private void removePendingPeer(String peer) {
    if (pendingInitialPeers != null) {
      pendingInitialPeers.remove(peer);
    }
    checkCaughtUp();
  }

  /**
   * Marks this watcher as caught up once the configuration service or a peer has answered, and
   * every queried peer has answered or could not be reached.
   *
   * <p>The configuration service may answer from an older replica. If a watcher were ready before
   * it has compared its records with its peers, it could serve an older configuration than they do,
   * and a caller would see accepted configuration revert.
   */
  private void checkCaughtUp() {
    if (!caughtUp
        && receivedFromAnySource
        && pendingInitialPeers != null
        && pendingInitialPeers.isEmpty()) {
      caughtUp = true;
      log.info("caught-up", "revision", records.highestRevision());
      sendToSubscribers(List.of(), false);
    }
  }

  private void queryInitialPeers() {
    List<Host> initialPeers = pickRandom(peers(), INITIAL_PEER_COUNT);
    pendingInitialPeers =
        initialPeers.stream().map(Host::id).collect(Collectors.toCollection(HashSet::new));
    initialPeers.forEach(this::sendDigest);
    checkCaughtUp();
  }

  private void sendDigest(Host peer) {
    Digest.Builder digest = Digest.newBuilder().setHostsRevision(fleet.revision());
    for (long bucket : records.digest()) {
      digest.addBuckets(bucket);
    }
    callPeer(peer.id(), Envelope.newBuilder().setDigest(digest));
  }

  private void callPeer(String peer, Envelope.Builder message) {
    Duty<WatcherEvent> owner = duty;
    if (owner == null) {
      return;
    }
    fleet
        .host(peer)
        .ifPresentOrElse(
            host -> {
              WireClient client = clients.clientOf(watcherEndpoint(host));
              client.call(message, new PeerCall(peer, client, owner));
            },
            () -> removePendingPeer(peer));
  }

  private void sendToPeers(List<StoredRecord> changes) {
    for (Host peer : pickRandom(peers(), settings.getFanOut())) {
      WireClient client = clients.clientOf(watcherEndpoint(peer));
      for (Update update : splitIntoUpdates(changes)) {
        client.sendOneWay(Envelope.newBuilder().setUpdate(update));
      }
    }
  }

  private void sendToSubscribers(List<StoredRecord> changes, boolean hosts) {
    subscribers.forEach(
        (connection, subscriber) ->
            send(connection, subscriber, subscriber.hostsOnly ? List.of() : changes, hosts));
  }

  /** Sends all records, unless only the hosts were subscribed to, and the host list. */
  private void sendSnapshot(WireConnection connection, Subscriber subscriber) {
    send(connection, subscriber, subscriber.hostsOnly ? List.of() : records.all(), true);
  }

  /**
   * Sends records to a subscriber as one or more updates.
   *
   * <p>Only the last update states whether this watcher has caught up, and only it carries the host
   * list if {@code hosts} is set.
   */
  private void send(
      WireConnection connection, Subscriber subscriber, List<StoredRecord> changes, boolean hosts) {
    List<Update> parts = splitIntoUpdates(changes);
    for (int i = 0; i < parts.size(); i++) {
      boolean last = i == parts.size() - 1;
      Update.Builder update = parts.get(i).toBuilder().setCaughtUp(caughtUp && last);
      if (last && hosts) {
        addHosts(update);
      }
      connection.send(subscriber.call, Envelope.newBuilder().setUpdate(update));
    }
  }

  private void addHosts(Update.Builder update) {
    update.setHosts(ByteString.copyFrom(fleetJson)).setHostsRevision(fleet.revision());
  }

  /**
   * Splits records into updates of bounded size: at least one, which is empty if there are none.
   */
  private static List<Update> splitIntoUpdates(List<StoredRecord> all) {
    List<Update> parts = new ArrayList<>();
    for (int from = 0; from == 0 || from < all.size(); from += RECORDS_PER_UPDATE) {
      Update.Builder update = Update.newBuilder();
      int to = Math.min(all.size(), from + RECORDS_PER_UPDATE);
      all.subList(from, to).forEach(record -> update.addRecords(WireRecords.toWire(record)));
      parts.add(update.build());
    }
    return parts;
  }

  private static List<StoredRecord> recordsOf(Update update) {
    return update.getRecordsList().stream().map(WireRecords::fromWire).toList();
  }

  private List<Host> peers() {
    return fleet.hosts().stream().filter(h -> !h.id().equals(settings.getHostId())).toList();
  }

  private <T> List<T> pickRandom(List<T> candidates, int count) {
    List<T> remaining = new ArrayList<>(candidates);
    List<T> picked = new ArrayList<>();
    while (picked.size() < count && !remaining.isEmpty()) {
      picked.add(remaining.remove(random.nextInt(remaining.size())));
    }
    return picked;
  }

  private static Endpoint watcherEndpoint(Host host) {
    return new Endpoint(host.address(), host.watcherPort());
  }

  private void publishStatus() {
    Map<String, Object> next = new LinkedHashMap<>();
    next.put("host", settings.getHostId());
    next.put("ready", caughtUp);
    next.put("revision", records.highestRevision());
    next.put("records", records.size());
    next.put("hosts_revision", fleet.revision());
    next.put("subscribers", subscribers.size());
    next.put(
        "refused",
        records.refused().stream()
            .map(
                r ->
                    Map.of(
                        "key",
                        r.key(),
                        "revision",
                        r.revision(),
                        "problems",
                        r.problems().stream().map(Object::toString).toList()))
            .toList());
    status = next;
  }

  private record Subscriber(long call, boolean hostsOnly) {}

  private record PeerCall(String peer, WireClient client, Duty<WatcherEvent> duty)
      implements CallListener {
    @Override
    public void onMessage(Envelope message) {
      client.endCall(message.getCall());
      if (message.hasDigestAnswer()) {
        duty.put(new WatcherEvent.PeerDigestReceived(peer, message.getDigestAnswer()));
      } else if (message.hasUpdate()) {
        duty.put(new WatcherEvent.PeerUpdateReceived(peer, message.getUpdate()));
      }
    }

    @Override
    public void onConnectionLost(boolean handedOn) {
      duty.put(new WatcherEvent.PeerUnreachable(peer));
    }
  }
}
