package org.sequoiahub.node.store;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
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
import org.sequoiahub.core.store.StorePosition;
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
 * <p>For each key the latest position wins, whether it comes from the store or from another host. A
 * store that was restored from an older copy reverts nothing: an older configuration does not
 * replace a newer one, nor an older version of an adapter, and a runner goes on leaving. What the
 * store lacks is kept ({@link KeptRecords}).
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
  private final KeptRecords kept = new KeptRecords();
  private StorePosition operatorsCompleteTo = StorePosition.NONE;
  private StorePosition newestOperatorPosition = StorePosition.NONE;

  /** The newest version of the configuration that is in force or pending; -1 if there is none. */
  private long newestConfigurationVersion = -1;

  /** A configuration from another host that is not yet confirmed as the newest; null if none. */
  private @Nullable PendingConfiguration pending;

  /** Whether a configuration from another host comes into force at once. */
  private boolean trustsPeers;

  private volatile ConfigurationStatus status = ConfigurationStatus.NONE;
  private KnownTimes readTimes = KnownTimes.NEVER;
  private StorePosition newestRunnersPosition = StorePosition.NONE;

  /** The last position of each key that was logged as unreadable; the oldest keys are dropped. */
  private final Map<String, StorePosition> ignoredPositions =
      new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, StorePosition> eldest) {
          return size() > MAX_IGNORED_KEYS;
        }
      };

  /** As of when the runners are known (ms). */
  private long runnersKnownMillis = Long.MIN_VALUE / 2;

  /** A configuration that is to come into force. */
  private record PendingConfiguration(
      RoutingTable table, StorePosition position, boolean fromPeer) {}

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
  public void snapshot(
      String prefix,
      List<StoredItem> items,
      StorePosition position,
      long askedMillis,
      long nowMillis) {
    boolean runners = prefix.equals(StoreKeys.RUNNER_PREFIX);
    StorePosition before = runners ? runnerRegistry.position() : operatorsCompleteTo;
    boolean restored = position.isOfLaterEra(before) && before.isAfter(StorePosition.NONE);
    if (runners) {
      List<Change> entries = new ArrayList<>();
      Set<String> unreadable = new HashSet<>();
      for (StoredItem item : items) {
        if (!addRunnerChange(item, entries)) {
          unreadable.add(StoreKeys.runnerId(item.key()));
        }
      }
      entries.forEach(this::recordIfRelevant);
      runnerRegistry.applySnapshot(entries, unreadable, position, nowMillis);
      if (restored) {
        keepMissingLeavingRunners(items);
        newestRunnersPosition = StorePosition.max(newestRunnersPosition, position);
      } else {
        removedRunners(items, position).forEach(this::recordRemoval);
      }
      runnersKnownMillis = Math.max(runnersKnownMillis, askedMillis);
      readTimes = readTimes.withRunners(nowMillis);
    } else {
      items.forEach(item -> applyOperatorItem(item, false, nowMillis));
      if (restored) {
        keepMissingOperatorRecords(items);
        newestOperatorPosition = StorePosition.max(newestOperatorPosition, position);
      }
      confirmed(nowMillis, nowMillis);
      operatorsCompleteTo = StorePosition.max(operatorsCompleteTo, position);
      readTimes = readTimes.withOperators(nowMillis);
    }
    log.info("store-read", "prefix", prefix, "items", items.size(), "position", position);
    if (restored) {
      log.warning(
          "store-era-changed",
          "prefix",
          prefix,
          "position",
          position,
          "before",
          before,
          "kept",
          kept.size());
    }
    changeListener.run();
  }

  /** Keeps the operators' records that a complete reading of the restored store lacks. */
  private void keepMissingOperatorRecords(List<StoredItem> read) {
    Set<String> present = read.stream().map(StoredItem::key).collect(Collectors.toSet());
    for (StoredItem item : operatorRecords.values()) {
      if (!present.contains(item.key())) {
        kept.putOperatorRecord(item);
      }
    }
  }

  /** Keeps the leaving runners' entries that a complete reading of the restored store lacks. */
  private void keepMissingLeavingRunners(List<StoredItem> read) {
    Set<String> present = read.stream().map(StoredItem::key).collect(Collectors.toSet());
    for (StoredItem item : runnerRecords.values()) {
      if (item.value() != null && !present.contains(item.key())) {
        runnerRegistry
            .find(StoreKeys.runnerId(item.key()))
            .filter(RunnerEntry::leaving)
            .ifPresent(entry -> kept.put(item, entry.id()));
      }
    }
  }

  /** Returns removals of the known runners that a complete reading lacks: they left unnoticed. */
  private List<StoredItem> removedRunners(List<StoredItem> read, StorePosition position) {
    Set<String> present = read.stream().map(StoredItem::key).collect(Collectors.toSet());
    return runnerRecords.values().stream()
        .filter(item -> item.value() != null && !item.position().isAfter(position))
        // An entry of an earlier era was lost with the restore rather than removed.
        .filter(item -> item.position().era() == position.era())
        .filter(item -> !present.contains(item.key()))
        .map(item -> new StoredItem(item.key(), position, null))
        .toList();
  }

  private void recordRemoval(StoredItem removed) {
    kept.remove(removed.key());
    runnerRecords.put(removed.key(), removed);
    newestRunnersPosition = StorePosition.max(newestRunnersPosition, removed.position());
  }

  /**
   * Advances the runners' position if a change is relevant to hosts that do not watch the store.
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
      newestRunnersPosition = StorePosition.max(newestRunnersPosition, change.position());
    }
  }

  @Override
  public void changes(
      String prefix,
      List<StoredItem> items,
      StorePosition position,
      long askedMillis,
      long nowMillis) {
    boolean updated = false;
    if (prefix.equals(StoreKeys.RUNNER_PREFIX)) {
      List<Change> entries = new ArrayList<>();
      for (StoredItem item : items) {
        addRunnerChange(item, entries);
      }
      for (Change entry : entries) {
        updated |= apply(entry, nowMillis);
      }
      runnerRegistry.markCompleteTo(position, nowMillis);
      runnersKnownMillis = Math.max(runnersKnownMillis, askedMillis);
      readTimes = readTimes.withRunners(nowMillis);
    } else {
      for (StoredItem item : items) {
        updated |= applyOperatorItem(item, false, nowMillis);
      }
      confirmed(nowMillis, nowMillis);
      operatorsCompleteTo = StorePosition.max(operatorsCompleteTo, position);
      readTimes = readTimes.withOperators(nowMillis);
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
    return status.version() >= 0 && runnerRegistry.position().isAfter(StorePosition.NONE);
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
            next.position,
            next.fromPeer,
            nowMillis,
            status.confirmedMillis());
    log.info(
        "configuration-in-force",
        "version",
        next.table.version(),
        "position",
        next.position,
        "routes",
        next.table.size(),
        "from",
        next.fromPeer ? "peer" : "store",
        "confirmed_ms_ago",
        next.fromPeer ? nowMillis - status.confirmedMillis() : 0);
  }

  /**
   * Returns as of when the runners are known (ms): when the store was asked for its last answer
   * about the runners. Answers about other records and words of other hosts do not count.
   */
  public long runnersKnownMillis() {
    return runnersKnownMillis;
  }

  /**
   * Returns when the store last answered this host's own calls. Records and statements of other
   * hosts do not count.
   */
  public KnownTimes readTimes() {
    return readTimes;
  }

  /** Returns the newest published version of an adapter; 0 if none was published. */
  public int newestVersion(String target) {
    return newestVersions.getOrDefault(target, 0);
  }

  /** Returns the position of the newest record that operators wrote. */
  public StorePosition newestOperatorPosition() {
    return newestOperatorPosition;
  }

  /** Returns the position of the newest change by which a runner joined, began to leave or left. */
  public StorePosition newestRunnersPosition() {
    return newestRunnersPosition;
  }

  /**
   * Returns the store position up to which this host has all operators' records. The newest record
   * may be later, as a paged reading returns some changes before others.
   */
  public StorePosition operatorsCompleteTo() {
    return operatorsCompleteTo;
  }

  /** Returns the store position up to which this host has all runners' entries. */
  public StorePosition runnersCompleteTo() {
    return runnerRegistry.position();
  }

  /**
   * Records that another host has provided all records that this host lacked, up to the given
   * positions.
   */
  public void completeTo(
      StorePosition operatorsPosition, StorePosition runnersPosition, long nowMillis) {
    operatorsCompleteTo = StorePosition.max(operatorsCompleteTo, operatorsPosition);
    runnerRegistry.markCompleteTo(runnersPosition, nowMillis);
  }

  /** Returns the operators' records that are later than a position. */
  public List<StoredItem> operatorRecordsSince(StorePosition position) {
    return operatorRecords.values().stream()
        .filter(item -> item.position().isAfter(position))
        .toList();
  }

  /** Returns the runners' records that are later than a position. */
  public List<StoredItem> runnerRecordsSince(StorePosition position) {
    return runnerRecords.values().stream()
        .filter(item -> item.position().isAfter(position))
        .toList();
  }

  /** Returns the records that this host keeps although the restored store lacks them. */
  public Collection<StoredItem> keptRecords() {
    return kept.items();
  }

  /** Returns a number that is the same at hosts that keep the same records; 0 if none are kept. */
  public int keptChecksum() {
    return kept.checksum();
  }

  /**
   * Applies a record that another host keeps from before the store was restored.
   *
   * @return whether it changed anything
   */
  public boolean applyKept(StoredItem item, long nowMillis) {
    byte @Nullable [] value = item.value();
    if (value == null) {
      return false;
    }
    try {
      if (!item.key().startsWith(StoreKeys.RUNNER_PREFIX)) {
        return applyKeptOperatorRecord(item, value, nowMillis);
      }
      return applyKeptRunner(item, value, nowMillis);
    } catch (DecodeException e) {
      logIgnored(item, e);
      return false;
    }
  }

  private boolean applyKeptRunner(StoredItem item, byte[] value, long nowMillis)
      throws DecodeException {
    RunnerEntry entry = decoder.decodeRunner(StoreKeys.runnerId(item.key()), value);
    if (!entry.leaving() || isRestated(item, runnerRecords.get(item.key()))) {
      return false;
    }
    boolean applied = runnerRegistry.recordLeaving(entry, nowMillis);
    boolean leaves = runnerRegistry.findByKey(entry.id()).filter(RunnerEntry::leaving).isPresent();
    if (leaves) {
      StoredItem before = runnerRecords.get(item.key());
      StorePosition at = before == null ? item.position() : before.position();
      StoredItem leaving = new StoredItem(item.key(), at, value);
      runnerRecords.put(item.key(), leaving);
      kept.put(leaving, entry.id());
    }
    return applied;
  }

  private boolean applyKeptOperatorRecord(StoredItem item, byte[] value, long nowMillis)
      throws DecodeException {
    StoredItem before = operatorRecords.get(item.key());
    if (isRestated(item, before)) {
      return false;
    }
    if (before != null && Arrays.equals(before.value(), value)) {
      kept.putOperatorRecord(before);
      return false;
    }
    if (isKnown(item, value)) {
      return false;
    }
    StorePosition at = before == null ? item.position() : before.position();
    StoredItem recorded = new StoredItem(item.key(), at, value);
    boolean applied = applyOperatorValue(recorded, value, true, nowMillis);
    kept.putOperatorRecord(recorded);
    return applied;
  }

  /** Returns whether the store has stated a key since it lacked what another host keeps of it. */
  private boolean isRestated(StoredItem item, @Nullable StoredItem before) {
    return before != null
        && before.position().isAfter(item.position())
        && !kept.contains(item.key());
  }

  /** Returns whether the same version of an operators' record, or a newer one, is known. */
  private boolean isKnown(StoredItem item, byte[] value) throws DecodeException {
    if (item.key().equals(StoreKeys.CONFIGURATION)) {
      return decoder.decodeConfiguration(value).version() <= newestConfigurationVersion;
    }
    if (item.key().startsWith(StoreKeys.VERSION_PREFIX)) {
      PublishedVersion version = decoder.decodeVersion(value);
      return version.version() <= newestVersions.getOrDefault(version.target(), 0);
    }
    return operatorRecords.containsKey(item.key());
  }

  /** Adds the change that an item represents, and returns whether the item could be read. */
  private boolean addRunnerChange(StoredItem item, List<Change> entries) {
    String id = StoreKeys.runnerId(item.key());
    byte @Nullable [] value = item.value();
    RunnerEntry entry = null;
    if (value != null) {
      try {
        entry = decoder.decodeRunner(id, value);
      } catch (DecodeException e) {
        logIgnored(item, e);
        return false;
      }
    }
    Change change = new Change(id, item.position(), entry);
    entries.add(change);
    StoredItem before = runnerRecords.get(item.key());
    if (before == null || item.position().isAfter(before.position())) {
      runnerRecords.put(item.key(), merged(item, change, before));
    }
    return true;
  }

  /** Returns what is recorded of a runner's entry: a runner that goes on leaving is kept so. */
  private StoredItem merged(StoredItem item, Change change, @Nullable StoredItem before) {
    RunnerEntry entry = change.entry();
    byte @Nullable [] known = before == null ? null : before.value();
    if (entry == null || entry.leaving() || known == null || !runnerRegistry.keepsLeaving(change)) {
      kept.remove(item.key());
      return item;
    }
    StoredItem leaving = new StoredItem(item.key(), item.position(), known);
    kept.put(leaving, entry.id());
    return leaving;
  }

  /** Logs an unreadable item once, as each complete reading returns it again. */
  private void logIgnored(StoredItem item, DecodeException problem) {
    StorePosition logged = ignoredPositions.put(item.key(), item.position());
    if (!item.position().equals(logged)) {
      log.warning("record-ignored", "key", item.key(), "why", problem.getMessage());
    }
  }

  private boolean apply(Change change, long nowMillis) {
    recordIfRelevant(change);
    RunnerEntry before = runnerRegistry.find(change.id()).orElse(null);
    // The runners that a host learns of when it starts are no changes; store-read tells their
    // number.
    boolean initialized = runnerRegistry.position().isAfter(StorePosition.NONE);
    boolean applied = runnerRegistry.apply(change, nowMillis);
    RunnerEntry entry = change.entry();
    boolean relevant =
        before == null
            || entry == null
            || entry.leaving() != before.leaving()
            || !entry.incarnation().equals(before.incarnation());
    if (applied && relevant && initialized) {
      log.info(
          "runner-changed",
          "runner",
          change.id(),
          "position",
          change.position(),
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
    if (value == null || (before != null && !item.position().isAfter(before.position()))) {
      return false;
    }
    return applyOperatorValue(item, value, fromPeer, nowMillis);
  }

  private boolean applyOperatorValue(
      StoredItem item, byte[] value, boolean fromPeer, long nowMillis) {
    boolean applied;
    try {
      if (item.key().equals(StoreKeys.CONFIGURATION)) {
        applied = applyConfiguration(item, value, fromPeer, nowMillis);
      } else if (item.key().startsWith(StoreKeys.VERSION_PREFIX)) {
        applied = applyVersion(decoder.decodeVersion(value));
      } else {
        applied = true;
      }
    } catch (DecodeException e) {
      logIgnored(item, e);
      return false;
    }
    newestOperatorPosition = StorePosition.max(newestOperatorPosition, item.position());
    if (applied) {
      operatorRecords.put(item.key(), item);
      kept.remove(item.key());
    } else {
      keepAt(item);
    }
    return applied;
  }

  /** Applies a configuration, unless a newer one is known; returns whether it did. */
  private boolean applyConfiguration(
      StoredItem item, byte[] value, boolean fromPeer, long nowMillis) throws DecodeException {
    StoredItem before = operatorRecords.get(item.key());
    if (before != null && Arrays.equals(before.value(), value)) {
      return true;
    }
    RoutingTable table = decoder.decodeConfiguration(value);
    if (table.version() < newestConfigurationVersion) {
      return false;
    }
    newestConfigurationVersion = table.version();
    pending = new PendingConfiguration(table, item.position(), fromPeer);
    if (trustsPeers || !fromPeer) {
      activatePending(nowMillis);
    }
    return true;
  }

  /** Applies the version of an adapter, unless a newer one is known; returns whether it did. */
  private boolean applyVersion(PublishedVersion version) {
    int newest = newestVersions.getOrDefault(version.target(), 0);
    if (version.version() < newest) {
      return false;
    }
    newestVersions.put(version.target(), version.version());
    log.info("adapter-version", "adapter", version.target(), "version", version.version());
    return true;
  }

  /** Keeps the known record of a key at the position at which the store has an older one. */
  private void keepAt(StoredItem older) {
    StoredItem known = operatorRecords.get(older.key());
    if (known != null) {
      StoredItem recorded = new StoredItem(older.key(), older.position(), known.value());
      operatorRecords.put(older.key(), recorded);
      kept.putOperatorRecord(recorded);
    }
  }
}
