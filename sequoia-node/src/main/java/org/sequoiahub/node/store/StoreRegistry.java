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
 * What the store holds, as this host accepted it; runs on the decision thread.
 *
 * <p>For each key the newest revision wins, whether the store or another host told it, so nothing
 * goes back while the process lives.
 */
public final class StoreRegistry implements StoreListener {

  /**
   * Keys for which it is remembered that their unreadable value was logged: more than the runners
   * of one deployment, so that a writer of many bad keys fills neither the log nor the memory.
   */
  private static final int MAX_IGNORED = 4_096;

  private final RecordDecoder decoder;
  private final RunnerRegistry book;
  private final Consumer<RoutingTable> tables;
  private final Runnable changed;
  private final EventLog log;
  private final Map<String, StoredItem> operator = new HashMap<>();
  private final Map<String, StoredItem> runners = new HashMap<>();
  private final Map<String, Integer> versions = new HashMap<>();
  private long operatorsCompleteTo;
  private long newestOperator;

  /** A configuration that was passed on before this host could know whether it is the newest. */
  private @Nullable Held held;

  /** Whether a configuration of another host is used at once. */
  private boolean trustsPeers;

  private volatile ConfigurationStatus status = ConfigurationStatus.NONE;
  private long runnersRevision;

  /** The revision of each key that was logged as unreadable last; the oldest keys are forgotten. */
  private final Map<String, Long> ignoredRevisions =
      new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
          return size() > MAX_IGNORED;
        }
      };

  /** A configuration on its way into force. */
  private record Held(RoutingTable table, long revision, boolean fromPeer) {}

  /**
   * Creates a registry.
   *
   * @param tables receives each configuration that comes into force
   * @param changed told when something is news
   */
  public StoreRegistry(
      RecordDecoder decoder,
      RunnerRegistry book,
      Consumer<RoutingTable> tables,
      Runnable changed,
      EventLog log) {
    this.decoder = decoder;
    this.book = book;
    this.tables = tables;
    this.changed = changed;
    this.log = log;
  }

  @Override
  public void whole(String prefix, List<StoredItem> items, long revision, long nowMillis) {
    if (prefix.equals(StoreKeys.RUNNER_PREFIX)) {
      List<Change> entries = new ArrayList<>();
      Set<String> unreadable = new HashSet<>();
      for (StoredItem item : items) {
        if (!runnerChange(item, entries)) {
          unreadable.add(StoreKeys.runnerId(item.key()));
        }
      }
      entries.forEach(this::noteWhetherItMatters);
      book.replace(entries, unreadable, revision, nowMillis);
      missing(items, revision).forEach(this::noteRemoval);
    } else {
      items.forEach(item -> operatorChange(item, false, nowMillis));
      confirmed(nowMillis, nowMillis);
      operatorsCompleteTo = Math.max(operatorsCompleteTo, revision);
    }
    log.info("store-read", "prefix", prefix, "items", items.size(), "revision", revision);
    changed.run();
  }

  /** Returns the runners that are known, but not in a whole reading: they left unseen. */
  private List<StoredItem> missing(List<StoredItem> read, long revision) {
    Set<String> present = read.stream().map(StoredItem::key).collect(Collectors.toSet());
    return runners.values().stream()
        .filter(item -> item.value() != null && item.revision() <= revision)
        .filter(item -> !present.contains(item.key()))
        .map(item -> new StoredItem(item.key(), revision, null))
        .toList();
  }

  private void noteRemoval(StoredItem removed) {
    runners.put(removed.key(), removed);
    runnersRevision = Math.max(runnersRevision, removed.revision());
  }

  /** Runners write all the time; only some changes matter to hosts that do not watch the store. */
  private void noteWhetherItMatters(Change change) {
    RunnerEntry before = book.find(change.id()).orElse(null);
    RunnerEntry now = change.entry();
    boolean same =
        before != null
            && now != null
            && !book.vanished(change.id())
            && before.incarnation().equals(now.incarnation())
            && before.address().equals(now.address())
            && before.leaving() == now.leaving();
    if (!same) {
      runnersRevision = Math.max(runnersRevision, change.revision());
    }
  }

  @Override
  public void changes(String prefix, List<StoredItem> items, long revision, long nowMillis) {
    boolean news = false;
    if (prefix.equals(StoreKeys.RUNNER_PREFIX)) {
      List<Change> entries = new ArrayList<>();
      for (StoredItem item : items) {
        runnerChange(item, entries);
      }
      for (Change entry : entries) {
        news |= apply(entry, nowMillis);
      }
      book.completeTo(revision);
    } else {
      for (StoredItem item : items) {
        news |= operatorChange(item, false, nowMillis);
      }
      confirmed(nowMillis, nowMillis);
      operatorsCompleteTo = Math.max(operatorsCompleteTo, revision);
    }
    if (news) {
      changed.run();
    }
  }

  @Override
  public void reachable(
      String prefix, boolean reachable, String why, long askedMillisAgo, long nowMillis) {
    if (reachable) {
      log.info("store-regained", "prefix", prefix, "asked_ms_ago", askedMillisAgo);
    } else {
      log.warning("store-lost", "prefix", prefix, "asked_ms_ago", askedMillisAgo, "why", why);
    }
  }

  /** Takes in a record that another host passed on; returns whether it was news. */
  public boolean passedOn(StoredItem item, long nowMillis) {
    if (!item.key().startsWith(StoreKeys.RUNNER_PREFIX)) {
      return operatorChange(item, true, nowMillis);
    }
    List<Change> entries = new ArrayList<>();
    runnerChange(item, entries);
    boolean news = false;
    for (Change entry : entries) {
      news |= apply(entry, nowMillis);
    }
    return news;
  }

  /** Returns whether a configuration is in force and the runners are known. */
  public boolean isFilled() {
    return status.version() >= 0 && book.revision() > 0;
  }

  /** Returns which configuration is in force; may be called on any thread. */
  public ConfigurationStatus status() {
    return status;
  }

  /**
   * Records that nothing newer of operators was known at a moment to the store, or to a host that
   * this one relies on. A configuration that was held until then comes into force.
   */
  public void confirmed(long atMillis, long nowMillis) {
    status = status.confirmedAt(atMillis);
    useHeld(nowMillis);
  }

  /** Uses a configuration that waits for its confirmation, and later ones at once. */
  public void useHeld(long nowMillis) {
    trustsPeers = true;
    Held waiting = held;
    held = null;
    if (waiting != null) {
      use(waiting, nowMillis);
    }
  }

  private void use(Held next, long nowMillis) {
    tables.accept(next.table);
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

  /** Returns the newest published version of an adapter; 0 if none was published. */
  public int newestVersion(String target) {
    return versions.getOrDefault(target, 0);
  }

  /** Returns the revision of the newest record that operators wrote; 0 if none is known. */
  public long newestOperatorRevision() {
    return newestOperator;
  }

  /** Returns the revision of the newest change by which a runner came, began to leave or went. */
  public long newestRunnersRevision() {
    return runnersRevision;
  }

  /**
   * Returns the store's revision up to which all operators' records are known here. The newest
   * record may be later: a reading in pages shows some changes before others.
   */
  public long operatorsCompleteTo() {
    return operatorsCompleteTo;
  }

  /** Returns the store's revision up to which all runners' entries are known here. */
  public long runnersCompleteTo() {
    return book.revision();
  }

  /**
   * Records that another host passed on all that is newer here than what was known, up to these
   * revisions.
   */
  public void completeTo(long operatorsRevision, long runnersRevision) {
    operatorsCompleteTo = Math.max(operatorsCompleteTo, operatorsRevision);
    book.completeTo(runnersRevision);
  }

  /** Returns the operators' records that are newer than {@code revision}. */
  public List<StoredItem> operatorSince(long revision) {
    return operator.values().stream().filter(item -> item.revision() > revision).toList();
  }

  /** Returns the runners' records that are newer than {@code revision}. */
  public List<StoredItem> runnersSince(long revision) {
    return runners.values().stream().filter(item -> item.revision() > revision).toList();
  }

  /** Adds the change that an item is; returns whether it could be read. */
  private boolean runnerChange(StoredItem item, List<Change> entries) {
    String id = StoreKeys.runnerId(item.key());
    byte @Nullable [] value = item.value();
    if (value == null) {
      entries.add(new Change(id, item.revision(), null));
    } else {
      try {
        RunnerEntry entry = decoder.decodeRunner(id, value);
        entries.add(new Change(id, item.revision(), entry));
      } catch (DecodeException e) {
        ignored(item, e);
        return false;
      }
    }
    StoredItem before = runners.get(item.key());
    if (before == null || before.revision() < item.revision()) {
      runners.put(item.key(), item);
    }
    return true;
  }

  /** Logs an item that cannot be read, once: each whole reading brings it again. */
  private void ignored(StoredItem item, DecodeException problem) {
    Long logged = ignoredRevisions.put(item.key(), item.revision());
    if (logged == null || logged != item.revision()) {
      log.warning("record-ignored", "key", item.key(), "why", problem.getMessage());
    }
  }

  private boolean apply(Change change, long nowMillis) {
    noteWhetherItMatters(change);
    RunnerEntry before = book.find(change.id()).orElse(null);
    boolean news = book.apply(change, nowMillis);
    RunnerEntry entry = change.entry();
    boolean matters =
        before == null
            || entry == null
            || entry.leaving() != before.leaving()
            || !entry.incarnation().equals(before.incarnation());
    if (news && matters) {
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
    return news;
  }

  private boolean operatorChange(StoredItem item, boolean fromPeer, long nowMillis) {
    StoredItem before = operator.get(item.key());
    byte @Nullable [] value = item.value();
    if (value == null || (before != null && before.revision() >= item.revision())) {
      return false;
    }
    try {
      if (item.key().equals(StoreKeys.CONFIGURATION)) {
        held = new Held(decoder.decodeConfiguration(value), item.revision(), fromPeer);
        if (trustsPeers || !fromPeer) {
          useHeld(nowMillis);
        }
      } else if (item.key().startsWith(StoreKeys.VERSION_PREFIX)) {
        PublishedVersion version = decoder.decodeVersion(value);
        versions.merge(version.target(), version.version(), Math::max);
        log.info("adapter-version", "adapter", version.target(), "version", version.version());
      }
    } catch (DecodeException e) {
      ignored(item, e);
      return false;
    }
    operator.put(item.key(), item);
    newestOperator = Math.max(newestOperator, item.revision());
    return true;
  }
}
