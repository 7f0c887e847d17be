package org.sequoiahub.node.store;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;
import org.sequoiahub.core.routing.RoutingTable;
import org.sequoiahub.core.upstream.RunnerEntry;
import org.sequoiahub.core.upstream.RunnerRegistry;
import org.sequoiahub.core.upstream.RunnerRegistry.Change;
import org.sequoiahub.runtime.log.EventLog;
import org.sequoiahub.usersplatform.DecodeException;
import org.sequoiahub.usersplatform.RecordDecoder;
import org.sequoiahub.usersplatform.RecordDecoder.PublishedVersion;
import org.sequoiahub.usersplatform.StoreKeys;
import org.sequoiahub.usersplatform.StoredItem;

/**
 * The store's records, as accepted by this host. Runs on the decision thread.
 *
 * <p>For each key the newest revision wins, whether it comes from the store or from another host,
 * so no record reverts to an older revision during the life of the process.
 */
public final class StoreRegistry implements StoreListener {

  /**
   * Maximum number of keys whose unreadable value is remembered as logged. It exceeds the number of
   * runners in a deployment, so that a writer of many bad keys fills neither the log nor memory.
   */
  private static final int MAX_IGNORED_KEYS = 4_096;

  private final RecordDecoder decoder;
  private final RunnerRegistry runnerRegistry;
  private final Consumer<RoutingTable> tableListener;
  private final Runnable changeListener;
  private final EventLog log;
  private final Map<String, StoredItem> operatorRecords = new HashMap<>();
  private final Map<String, StoredItem> runnerRecords = new HashMap<>();
  private final Map<String, Integer> newestVersions = new HashMap<>();
  private long operatorsCompleteTo;
  private long newestOperatorRevision;

  /** A configuration from another host that is not yet confirmed as the newest; null if none. */
  private @Nullable PendingConfiguration pending;

  /** Whether a configuration from another host comes into force at once. */
  private boolean trustsPeers;

  private volatile ConfigurationStatus status = ConfigurationStatus.NONE;
  private long newestRunnersRevision;

  /** The last revision of each key that was logged as unreadable; the oldest keys are dropped. */
  private final Map<String, Long> ignoredRevisions =
      new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
          return size() > MAX_IGNORED_KEYS;
        }
      };

  /** As of when the runners are known (ms). */
  private long runnersKnownMillis = Long.MIN_VALUE / 2;

  /** A configuration that is to come into force. */
  private record PendingConfiguration(RoutingTable table, long revision, boolean fromPeer) {}

  /**
   * Creates a registry.
   *
   * @param tableListener receives the routing table of each configuration that comes into force
   * @param changeListener called when a record has changed
   */
  public StoreRegistry(
      RecordDecoder decoder,
      RunnerRegistry runnerRegistry,
      Consumer<RoutingTable> tableListener,
      Runnable changeListener,
      EventLog log) {
    this.decoder = decoder;
    this.runnerRegistry = runnerRegistry;
    this.tableListener = tableListener;
    this.changeListener = changeListener;
    this.log = log;
  }

  @Override
  public void snapshot(String prefix, List<StoredItem> items, long revision, long nowMillis) {
    if (prefix.equals(StoreKeys.RUNNER_PREFIX)) {
      List<Change> entries = new ArrayList<>();
      Set<String> unreadable = new HashSet<>();
      for (StoredItem item : items) {
        if (!addRunnerChange(item, entries)) {
          unreadable.add(StoreKeys.runnerId(item.key()));
        }
      }
      entries.forEach(this::recordIfRelevant);
      runnerRegistry.applySnapshot(entries, unreadable, revision, nowMillis);
      removedRunners(items, revision).forEach(this::recordRemoval);
      runnersKnownMillis = nowMillis;
    } else {
      items.forEach(item -> applyOperatorItem(item, false, nowMillis));
      confirmed(nowMillis, nowMillis);
      operatorsCompleteTo = Math.max(operatorsCompleteTo, revision);
    }
    log.info("store-read", "prefix", prefix, "items", items.size(), "revision", revision);
    changeListener.run();
  }

  /** Returns removals of the known runners that a complete reading lacks: they left unnoticed. */
  private List<StoredItem> removedRunners(List<StoredItem> read, long revision) {
    Set<String> present = read.stream().map(StoredItem::key).collect(Collectors.toSet());
    return runnerRecords.values().stream()
        .filter(item -> item.value() != null && item.revision() <= revision)
        .filter(item -> !present.contains(item.key()))
        .map(item -> new StoredItem(item.key(), revision, null))
        .toList();
  }

  private void recordRemoval(StoredItem removed) {
    runnerRecords.put(removed.key(), removed);
    newestRunnersRevision = Math.max(newestRunnersRevision, removed.revision());
  }

  /**
   * Advances the runners' revision if a change is relevant to hosts that do not watch the store.
   * Runners write constantly, and most of their changes are not.
   */
  private void recordIfRelevant(Change change) {
    RunnerEntry before = runnerRegistry.find(change.id()).orElse(null);
    RunnerEntry now = change.entry();
    boolean irrelevant =
        before != null
            && now != null
            && !runnerRegistry.hasVanished(change.id())
            && before.incarnation().equals(now.incarnation())
            && before.address().equals(now.address())
            && before.leaving() == now.leaving();
    if (!irrelevant) {
      newestRunnersRevision = Math.max(newestRunnersRevision, change.revision());
    }
  }

  @Override
  public void changes(String prefix, List<StoredItem> items, long revision, long nowMillis) {
    boolean updated = false;
    if (prefix.equals(StoreKeys.RUNNER_PREFIX)) {
      List<Change> entries = new ArrayList<>();
      for (StoredItem item : items) {
        addRunnerChange(item, entries);
      }
      for (Change entry : entries) {
        updated |= apply(entry, nowMillis);
      }
      runnerRegistry.markCompleteTo(revision);
      runnersKnownMillis = nowMillis;
    } else {
      for (StoredItem item : items) {
        updated |= applyOperatorItem(item, false, nowMillis);
      }
      confirmed(nowMillis, nowMillis);
      operatorsCompleteTo = Math.max(operatorsCompleteTo, revision);
    }
    if (updated) {
      changeListener.run();
    }
  }

  @Override
  public void reachabilityChanged(
      String prefix, boolean reachable, String why, long calledMillisAgo, long nowMillis) {
    // asked_ms_ago is how long ago the call was made that failed, or that succeeded again.
    if (reachable) {
      log.info("store-regained", "prefix", prefix, "asked_ms_ago", calledMillisAgo);
    } else {
      log.warning("store-lost", "prefix", prefix, "asked_ms_ago", calledMillisAgo, "why", why);
    }
  }

  /** Applies a record from another host, and returns whether it changed anything. */
  public boolean applyFromPeer(StoredItem item, long nowMillis) {
    if (!item.key().startsWith(StoreKeys.RUNNER_PREFIX)) {
      return applyOperatorItem(item, true, nowMillis);
    }
    List<Change> entries = new ArrayList<>();
    addRunnerChange(item, entries);
    boolean updated = false;
    for (Change entry : entries) {
      updated |= apply(entry, nowMillis);
    }
    return updated;
  }

  /** Returns whether a configuration is in force and the runners are known. */
  public boolean isInitialized() {
    return status.version() >= 0 && runnerRegistry.revision() > 0;
  }

  /** Returns the status of the configuration in force; may be called on any thread. */
  public ConfigurationStatus status() {
    return status;
  }

  /**
   * Records that the store, or a host on which this one relies, knew of no newer operators' record
   * at the given time. A pending configuration comes into force.
   */
  public void confirmed(long atMillis, long nowMillis) {
    status = status.confirmedAt(atMillis);
    runnersKnownMillis = Math.max(runnersKnownMillis, atMillis);
    activatePending(nowMillis);
  }

  /** Activates the pending configuration, if any, and lets later ones come into force at once. */
  public void activatePending(long nowMillis) {
    trustsPeers = true;
    PendingConfiguration next = pending;
    pending = null;
    if (next != null) {
      activate(next, nowMillis);
    }
  }

  private void activate(PendingConfiguration next, long nowMillis) {
    tableListener.accept(next.table);
    status =
        new ConfigurationStatus(
            next.table.version(),
            next.revision,
            next.fromPeer,
            nowMillis,
            status.confirmedMillis());
    log.info(
        "configuration-in-force",
        "version",
        next.table.version(),
        "revision",
        next.revision,
        "routes",
        next.table.size(),
        "from",
        next.fromPeer ? "peer" : "store",
        "confirmed_ms_ago",
        next.fromPeer ? nowMillis - status.confirmedMillis() : 0);
  }

  /**
   * Returns as of when the runners are known (ms): the last time at which the store answered, or a
   * host on which this one relies confirmed that it has all records.
   */
  public long runnersKnownMillis() {
    return runnersKnownMillis;
  }

  /** Returns the newest published version of an adapter; 0 if none was published. */
  public int newestVersion(String target) {
    return newestVersions.getOrDefault(target, 0);
  }

  /** Returns the revision of the newest record that operators wrote; 0 if none is known. */
  public long newestOperatorRevision() {
    return newestOperatorRevision;
  }

  /** Returns the revision of the newest change by which a runner joined, began to leave or left. */
  public long newestRunnersRevision() {
    return newestRunnersRevision;
  }

  /**
   * Returns the store revision up to which this host has all operators' records. The newest record
   * may be later, as a paged reading returns some changes before others.
   */
  public long operatorsCompleteTo() {
    return operatorsCompleteTo;
  }

  /** Returns the store revision up to which this host has all runners' entries. */
  public long runnersCompleteTo() {
    return runnerRegistry.revision();
  }

  /**
   * Records that another host has provided all records that this host lacked, up to the given
   * revisions.
   */
  public void completeTo(long operatorsRevision, long runnersRevision) {
    operatorsCompleteTo = Math.max(operatorsCompleteTo, operatorsRevision);
    runnerRegistry.markCompleteTo(runnersRevision);
  }

  /** Returns the operators' records that are newer than {@code revision}. */
  public List<StoredItem> operatorRecordsSince(long revision) {
    return operatorRecords.values().stream().filter(item -> item.revision() > revision).toList();
  }

  /** Returns the runners' records that are newer than {@code revision}. */
  public List<StoredItem> runnerRecordsSince(long revision) {
    return runnerRecords.values().stream().filter(item -> item.revision() > revision).toList();
  }

  /** Adds the change that an item represents, and returns whether the item could be read. */
  private boolean addRunnerChange(StoredItem item, List<Change> entries) {
    String id = StoreKeys.runnerId(item.key());
    byte @Nullable [] value = item.value();
    if (value == null) {
      entries.add(new Change(id, item.revision(), null));
    } else {
      try {
        RunnerEntry entry = decoder.decodeRunner(id, value);
        entries.add(new Change(id, item.revision(), entry));
      } catch (DecodeException e) {
        logIgnored(item, e);
        return false;
      }
    }
    StoredItem before = runnerRecords.get(item.key());
    if (before == null || before.revision() < item.revision()) {
      runnerRecords.put(item.key(), item);
    }
    return true;
  }

  /** Logs an unreadable item once, as each complete reading returns it again. */
  private void logIgnored(StoredItem item, DecodeException problem) {
    Long logged = ignoredRevisions.put(item.key(), item.revision());
    if (logged == null || logged != item.revision()) {
      log.warning("record-ignored", "key", item.key(), "why", problem.getMessage());
    }
  }

  private boolean apply(Change change, long nowMillis) {
    recordIfRelevant(change);
    RunnerEntry before = runnerRegistry.find(change.id()).orElse(null);
    boolean applied = runnerRegistry.apply(change, nowMillis);
    RunnerEntry entry = change.entry();
    boolean relevant =
        before == null
            || entry == null
            || entry.leaving() != before.leaving()
            || !entry.incarnation().equals(before.incarnation());
    if (applied && relevant) {
      log.info(
          "runner-changed",
          "runner",
          change.id(),
          "revision",
          change.revision(),
          "started_at",
          entry == null ? -1 : entry.incarnation().startedAtMillis(),
          "present",
          entry != null,
          "leaving",
          entry != null && entry.leaving());
    }
    return applied;
  }

  private boolean applyOperatorItem(StoredItem item, boolean fromPeer, long nowMillis) {
    StoredItem before = operatorRecords.get(item.key());
    byte @Nullable [] value = item.value();
    if (value == null || (before != null && before.revision() >= item.revision())) {
      return false;
    }
    try {
      if (item.key().equals(StoreKeys.CONFIGURATION)) {
        pending =
            new PendingConfiguration(decoder.decodeConfiguration(value), item.revision(), fromPeer);
        if (trustsPeers || !fromPeer) {
          activatePending(nowMillis);
        }
      } else if (item.key().startsWith(StoreKeys.VERSION_PREFIX)) {
        PublishedVersion version = decoder.decodeVersion(value);
        newestVersions.merge(version.target(), version.version(), Math::max);
        log.info("adapter-version", "adapter", version.target(), "version", version.version());
      }
    } catch (DecodeException e) {
      logIgnored(item, e);
      return false;
    }
    operatorRecords.put(item.key(), item);
    newestOperatorRevision = Math.max(newestOperatorRevision, item.revision());
    return true;
  }
}
