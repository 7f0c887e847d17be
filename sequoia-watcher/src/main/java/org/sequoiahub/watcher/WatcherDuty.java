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
import org.sequoiahub.core.config.Offered;
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

/** The watcher's state and decisions, all on one thread. */
final class WatcherDuty {

  /** A catching-up watcher asks at most this many peers at its start. */
  private static final int FIRST_ASKED = 5;

  private static final int RECORDS_PER_UPDATE = 2_000;

  private static final long STATUS_MILLIS = 250;

  private final WatcherSettings settings;
  private final WireClients clients;
  private final SplittableRandom random;
  private final EventLog log;
  private final AcceptedRecords records =
      new AcceptedRecords(new DefaultRecordParser(), AcceptedRecords.Keep.VALUES);
  private final Map<WireConnection, Subscriber> subscribers = new HashMap<>();
  private final Counter accepted;
  private final Counter refused;
  private @Nullable Duty<WatcherEvent> duty;
  private Fleet fleet = Fleet.EMPTY;
  private byte[] fleetJson = new byte[0];
  private boolean heardAnySource;
  private @Nullable Set<String> stillToHear;
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

  void attachTo(Duty<WatcherEvent> owner) {
    this.duty = owner;
  }

  boolean isReady() {
    return caughtUp;
  }

  Map<String, Object> status() {
    return status;
  }

  void onFailure(Throwable failure) {
    log.warning("defect", "error", failure);
  }

  void handle(WatcherEvent event) {
    if (event instanceof WatcherEvent.ListingRead answered) {
      serviceAnswered(answered.listing());
    } else if (event instanceof WatcherEvent.HostListRead read) {
      offerHosts(read.json());
    } else if (event instanceof WatcherEvent.MessageReceived received) {
      received(received.connection(), received.message());
    } else if (event instanceof WatcherEvent.ConnectionClosed closed) {
      subscribers.remove(closed.connection());
    } else if (event instanceof WatcherEvent.PeerDigestReceived digest) {
      peerDigest(digest.peer(), digest.answer());
    } else if (event instanceof WatcherEvent.PeerUpdateReceived update) {
      offerAll(fromWire(update.update()), "peer");
      if (!update.update().getHosts().isEmpty()) {
        offerHosts(update.update().getHosts().toByteArray());
      }
      heard(update.peer());
    } else if (event instanceof WatcherEvent.PeerUnreachable lost) {
      doNotWaitFor(lost.peer());
    }
  }

  void tick(long nowMillis) {
    if (stillToHear == null && fleet.revision() > 0) {
      askFirstPeers();
    }
    if (nowMillis >= nextExchangeMillis) {
      nextExchangeMillis = nowMillis + settings.getExchangePeriodMs();
      pick(peers(), 1).forEach(this::sendDigest);
    }
    if (nowMillis >= nextStatusMillis) {
      nextStatusMillis = nowMillis + STATUS_MILLIS;
      publishStatus();
    }
  }

  private void serviceAnswered(Listing listing) {
    List<StoredRecord> offered = new ArrayList<>(listing.records());
    if (listing.complete()) {
      Set<String> listed =
          listing.records().stream().map(StoredRecord::key).collect(Collectors.toSet());
      offered.addAll(records.deletedBy(listed, listing.revision()));
    }
    offerAll(offered, "service");
    heardAnySource = true;
    checkCaughtUp();
  }

  private void offerAll(List<StoredRecord> offered, String source) {
    List<StoredRecord> news = new ArrayList<>();
    for (StoredRecord record : offered) {
      Offered result = records.offer(record);
      if (result instanceof Offered.Accepted) {
        accepted.inc();
        news.add(record);
        log.debug(
            "record-accepted",
            "key",
            record.key(),
            "revision",
            record.revision(),
            "source",
            source);
      } else if (result instanceof Offered.Refused refusal) {
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
    if (news.isEmpty()) {
      return;
    }
    log.info(
        "records-in-force",
        "count",
        news.size(),
        "revision",
        records.highestRevision(),
        "source",
        source);
    tellSubscribers(news, false);
    if (caughtUp) {
      tellPeers(news);
    }
  }

  private void offerHosts(byte[] json) {
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
    clients.retain(peers().stream().map(WatcherDuty::endpoint).collect(Collectors.toSet()));
    tellSubscribers(List.of(), true);
  }

  private void received(WireConnection connection, Envelope message) {
    long call = message.getCall();
    if (message.hasSubscribe()) {
      Subscriber subscriber = new Subscriber(call, message.getSubscribe().getHostsOnly());
      subscribers.put(connection, subscriber);
      sendAll(connection, subscriber);
    } else if (message.hasDigest()) {
      connection.send(call, Envelope.newBuilder().setDigestAnswer(compare(message.getDigest())));
    } else if (message.hasFetch()) {
      connection.send(call, Envelope.newBuilder().setUpdate(fetched(message.getFetch())));
    } else if (message.hasUpdate()) {
      offerAll(fromWire(message.getUpdate()), "peer");
    }
  }

  private DigestAnswer compare(Digest digest) {
    long[] theirs = digest.getBucketsList().stream().mapToLong(Long::longValue).toArray();
    DigestAnswer.Builder answer = DigestAnswer.newBuilder().setHostsRevision(fleet.revision());
    if (theirs.length != AcceptedRecords.BUCKETS) {
      return answer.build();
    }
    Map<String, Long> held = records.heldWhereDifferent(theirs);
    held.forEach(
        (key, revision) ->
            answer.addHeld(DigestAnswer.Held.newBuilder().setKey(key).setRevision(revision)));
    return answer.setEqual(held.isEmpty()).build();
  }

  private Update fetched(Fetch fetch) {
    Update.Builder update = Update.newBuilder();
    for (String key : fetch.getKeysList()) {
      records.stored(key).ifPresent(record -> update.addRecords(WireRecords.toWire(record)));
    }
    if (fetch.getHosts()) {
      addHosts(update);
    }
    return update.build();
  }

  private void peerDigest(String peer, DigestAnswer answer) {
    Map<String, Long> held =
        answer.getHeldList().stream()
            .collect(
                Collectors.toMap(
                    DigestAnswer.Held::getKey, DigestAnswer.Held::getRevision, Math::max));
    List<String> missing = records.missing(held);
    boolean hosts = answer.getHostsRevision() > fleet.revision();
    if (missing.isEmpty() && !hosts) {
      heard(peer);
      return;
    }
    Fetch fetch = Fetch.newBuilder().addAllKeys(missing).setHosts(hosts).build();
    callPeer(peer, Envelope.newBuilder().setFetch(fetch));
  }

  private void heard(String peer) {
    heardAnySource = true;
    doNotWaitFor(peer);
  }

  private void doNotWaitFor(String peer) {
    if (stillToHear != null) {
      stillToHear.remove(peer);
    }
    checkCaughtUp();
  }

  /**
   * A process that has just started must not serve below its peers: the service may answer from an
   * older replica, and a caller would see accepted configuration revert. So nothing here is ready
   * until every peer that was asked has answered or could not be reached.
   */
  private void checkCaughtUp() {
    if (!caughtUp && heardAnySource && stillToHear != null && stillToHear.isEmpty()) {
      caughtUp = true;
      log.info("caught-up", "revision", records.highestRevision());
      tellSubscribers(List.of(), false);
    }
  }

  private void askFirstPeers() {
    List<Host> first = pick(peers(), FIRST_ASKED);
    stillToHear = first.stream().map(Host::id).collect(Collectors.toCollection(HashSet::new));
    first.forEach(this::sendDigest);
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
              WireClient client = clients.to(endpoint(host));
              client.call(message, new PeerCall(peer, client, owner));
            },
            () -> doNotWaitFor(peer));
  }

  private void tellPeers(List<StoredRecord> news) {
    for (Host peer : pick(peers(), settings.getFanOut())) {
      WireClient client = clients.to(endpoint(peer));
      for (Update update : inParts(news)) {
        client.tell(Envelope.newBuilder().setUpdate(update));
      }
    }
  }

  private void tellSubscribers(List<StoredRecord> news, boolean hosts) {
    subscribers.forEach(
        (connection, subscriber) ->
            send(connection, subscriber, subscriber.hostsOnly ? List.of() : news, hosts));
  }

  private void sendAll(WireConnection connection, Subscriber subscriber) {
    send(connection, subscriber, subscriber.hostsOnly ? List.of() : records.all(), true);
  }

  /** Sends records in parts; the last one says whether that was all and may bring the host list. */
  private void send(
      WireConnection connection, Subscriber subscriber, List<StoredRecord> news, boolean hosts) {
    List<Update> parts = inParts(news);
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

  /** Cuts records into updates of bounded size; at least one, which may be empty. */
  private static List<Update> inParts(List<StoredRecord> all) {
    List<Update> parts = new ArrayList<>();
    for (int from = 0; from == 0 || from < all.size(); from += RECORDS_PER_UPDATE) {
      Update.Builder update = Update.newBuilder();
      int to = Math.min(all.size(), from + RECORDS_PER_UPDATE);
      all.subList(from, to).forEach(record -> update.addRecords(WireRecords.toWire(record)));
      parts.add(update.build());
    }
    return parts;
  }

  private static List<StoredRecord> fromWire(Update update) {
    return update.getRecordsList().stream().map(WireRecords::fromWire).toList();
  }

  private List<Host> peers() {
    return fleet.hosts().stream().filter(h -> !h.id().equals(settings.getHostId())).toList();
  }

  private <T> List<T> pick(List<T> from, int count) {
    List<T> left = new ArrayList<>(from);
    List<T> picked = new ArrayList<>();
    while (picked.size() < count && !left.isEmpty()) {
      picked.add(left.remove(random.nextInt(left.size())));
    }
    return picked;
  }

  private static Endpoint endpoint(Host host) {
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
    public void message(Envelope message) {
      client.end(message.getCall());
      if (message.hasDigestAnswer()) {
        duty.put(new WatcherEvent.PeerDigestReceived(peer, message.getDigestAnswer()));
      } else if (message.hasUpdate()) {
        duty.put(new WatcherEvent.PeerUpdateReceived(peer, message.getUpdate()));
      }
    }

    @Override
    public void lost(boolean handedOn) {
      duty.put(new WatcherEvent.PeerUnreachable(peer));
    }
  }
}
