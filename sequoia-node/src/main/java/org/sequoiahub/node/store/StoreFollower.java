package org.sequoiahub.node.store;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.sequoiahub.usersplatform.StoreClient.Result;
import org.sequoiahub.usersplatform.StoreReader;
import org.sequoiahub.usersplatform.StoredItem;

/**
 * Follows one prefix of the store: reads it completely, then watches it, and starts over when the
 * store has dropped the history since the last answer.
 *
 * <p>Runs on the decision thread, to which {@code decisionExecutor} passes the answers.
 */
public final class StoreFollower {

  /** Backoff after the first failed call (ms); doubles up to the maximum. */
  private static final long INITIAL_BACKOFF_MILLIS = 100;

  private static final long MAX_BACKOFF_MILLIS = 400;

  /** Maximum time that an answer may take beyond the hold (ms), for a slow store. */
  private static final long MAX_ANSWER_TIMEOUT_MILLIS = 1_200;

  /**
   * How long the store may hold the first watch after a failure (ms): it only checks that the store
   * answers.
   */
  private static final long PROBE_HOLD_MILLIS = 1;

  private final StoreReader client;
  private final String prefix;
  private final WatchTiming timing;
  private final StoreListener listener;
  private final Consumer<Runnable> decisionExecutor;
  private final LongSupplier clock;
  private long revision = -1;
  private long dueMillis;
  private long backoffMillis = INITIAL_BACKOFF_MILLIS;
  private long answerTimeoutMillis;
  private long calledMillis;
  private boolean callInFlight;
  private boolean reachable = true;
  private boolean rereading;
  private List<StoredItem> readItems = new ArrayList<>();
  private long firstPageRevision;
  private String lastKey = "";

  /** Creates a follower; {@link #tick} makes the calls. */
  public StoreFollower(
      StoreReader client,
      String prefix,
      WatchTiming timing,
      StoreListener listener,
      Consumer<Runnable> decisionExecutor,
      LongSupplier clock) {
    this.client = client;
    this.prefix = prefix;
    this.timing = timing;
    this.answerTimeoutMillis = timing.answerTimeoutMillis();
    this.listener = listener;
    this.decisionExecutor = decisionExecutor;
    this.clock = clock;
  }

  /** Makes the next call if it is due and none is in flight. */
  public void tick(long nowMillis) {
    if (callInFlight || nowMillis < dueMillis) {
      return;
    }
    callInFlight = true;
    calledMillis = nowMillis;
    dueMillis = nowMillis + timing.minIntervalMillis();
    if (revision < 0) {
      client.range(
          prefix, lastKey, answerTimeoutMillis, answer -> post(() -> pageReceived(answer)));
    } else {
      long hold = reachable ? timing.holdMillis() : PROBE_HOLD_MILLIS;
      client.watch(
          prefix,
          revision,
          hold,
          hold + answerTimeoutMillis,
          answer -> post(() -> changesReceived(answer)));
    }
  }

  /** Returns whether the last completed call was answered. */
  public boolean isReachable() {
    return reachable;
  }

  private void post(Runnable work) {
    decisionExecutor.accept(work);
  }

  private void pageReceived(Result answer) {
    long now = clock.getAsLong();
    callInFlight = false;
    if (!(answer instanceof Result.Items items)) {
      failed(answer, now);
      return;
    }
    succeeded(now);
    if (lastKey.isEmpty()) {
      // Later pages may show later states. The watch starts at the revision of the first page and
      // repeats their changes.
      firstPageRevision = items.revision();
    }
    readItems.addAll(items.items());
    dueMillis = now;
    if (items.more() && !items.items().isEmpty()) {
      lastKey = items.items().get(items.items().size() - 1).key();
      return;
    }
    revision = firstPageRevision;
    List<StoredItem> all = readItems;
    restartReading();
    if (rereading) {
      // If this reading is already older than the store's history, the next one would follow at
      // once.
      dueMillis = now + nextBackoff();
    }
    listener.snapshot(prefix, all, revision, now);
  }

  private void changesReceived(Result answer) {
    long now = clock.getAsLong();
    callInFlight = false;
    if (answer instanceof Result.Items items) {
      succeeded(now);
      rereading = false;
      backoffMillis = INITIAL_BACKOFF_MILLIS;
      revision = Math.max(revision, items.revision());
      listener.changes(prefix, items.items(), revision, now);
    } else if (answer instanceof Result.HistoryLost) {
      succeeded(now);
      revision = -1;
      rereading = true;
      dueMillis = now;
      restartReading();
    } else {
      failed(answer, now);
    }
  }

  private void restartReading() {
    readItems = new ArrayList<>();
    lastKey = "";
  }

  private void succeeded(long nowMillis) {
    answerTimeoutMillis = Math.max(timing.answerTimeoutMillis(), answerTimeoutMillis / 2);
    if (!reachable) {
      reachable = true;
      listener.reachabilityChanged(prefix, true, "", nowMillis - calledMillis, nowMillis);
    }
  }

  private void failed(Result answer, long nowMillis) {
    dueMillis = nowMillis + nextBackoff();
    answerTimeoutMillis =
        Math.max(
            timing.answerTimeoutMillis(),
            Math.min(MAX_ANSWER_TIMEOUT_MILLIS, answerTimeoutMillis * 2));
    restartReading();
    if (reachable) {
      reachable = false;
      listener.reachabilityChanged(
          prefix, false, answer.toString(), nowMillis - calledMillis, nowMillis);
    }
  }

  private long nextBackoff() {
    long backoff = backoffMillis;
    backoffMillis = Math.min(MAX_BACKOFF_MILLIS, backoffMillis * 2);
    return backoff;
  }
}
