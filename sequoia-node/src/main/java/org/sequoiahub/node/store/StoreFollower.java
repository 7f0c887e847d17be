package org.sequoiahub.node.store;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.sequoiahub.usersplatform.StoreClient.Result;
import org.sequoiahub.usersplatform.StoreReader;
import org.sequoiahub.usersplatform.StoredItem;

/**
 * Follows one prefix of the store: reads it whole, then watches it, and begins anew when the store
 * has dropped the history in between.
 *
 * <p>Runs on the decision thread; answers are handed to it through {@code decisions}.
 */
public final class StoreFollower {

  /** First pause after a failed call (ms); doubles up to the longest. */
  private static final long FIRST_PAUSE_MILLIS = 100;

  private static final long LONGEST_PAUSE_MILLIS = 400;

  /** The longest that an answer may take beyond the hold (ms), for a store that is slow. */
  private static final long LONGEST_PATIENCE_MILLIS = 1_200;

  /** How long the store may hold the first watch after a failure (ms): only its answer is asked. */
  private static final long PROBE_HOLD_MILLIS = 1;

  private final StoreReader client;
  private final String prefix;
  private final WatchTiming timing;
  private final StoreListener listener;
  private final Consumer<Runnable> decisions;
  private final LongSupplier clock;
  private long revision = -1;
  private long dueMillis;
  private long pauseMillis = FIRST_PAUSE_MILLIS;
  private long patienceMillis;
  private long askedMillis;
  private boolean calling;
  private boolean reachable = true;
  private boolean rereading;
  private List<StoredItem> pages = new ArrayList<>();
  private long firstPageRevision;
  private String after = "";

  /** Creates a follower; {@link #tick} makes the calls. */
  public StoreFollower(
      StoreReader client,
      String prefix,
      WatchTiming timing,
      StoreListener listener,
      Consumer<Runnable> decisions,
      LongSupplier clock) {
    this.client = client;
    this.prefix = prefix;
    this.timing = timing;
    this.patienceMillis = timing.patienceMillis();
    this.listener = listener;
    this.decisions = decisions;
    this.clock = clock;
  }

  /** Makes the next call if it is due. */
  public void tick(long nowMillis) {
    if (calling || nowMillis < dueMillis) {
      return;
    }
    calling = true;
    askedMillis = nowMillis;
    dueMillis = nowMillis + timing.spacingMillis();
    if (revision < 0) {
      client.range(prefix, after, patienceMillis, answer -> post(() -> page(answer)));
    } else {
      long hold = reachable ? timing.holdMillis() : PROBE_HOLD_MILLIS;
      client.watch(
          prefix, revision, hold, hold + patienceMillis, answer -> post(() -> changes(answer)));
    }
  }

  /** Returns whether the last call that ended was answered. */
  public boolean isReachable() {
    return reachable;
  }

  private void post(Runnable work) {
    decisions.accept(work);
  }

  private void page(Result answer) {
    long now = clock.getAsLong();
    calling = false;
    if (!(answer instanceof Result.Items items)) {
      failed(answer, now);
      return;
    }
    succeeded(now);
    if (after.isEmpty()) {
      // Later pages may show later states; the watch starts from the first page and repeats them.
      firstPageRevision = items.revision();
    }
    pages.addAll(items.items());
    dueMillis = now;
    if (items.more() && !items.items().isEmpty()) {
      after = items.items().get(items.items().size() - 1).key();
      return;
    }
    revision = firstPageRevision;
    List<StoredItem> all = pages;
    restartReading();
    if (rereading) {
      // A reading older than the history would be followed by the next one at once.
      dueMillis = now + nextPause();
    }
    listener.whole(prefix, all, revision, now);
  }

  private void changes(Result answer) {
    long now = clock.getAsLong();
    calling = false;
    if (answer instanceof Result.Items items) {
      succeeded(now);
      rereading = false;
      pauseMillis = FIRST_PAUSE_MILLIS;
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
    pages = new ArrayList<>();
    after = "";
  }

  private void succeeded(long nowMillis) {
    patienceMillis = Math.max(timing.patienceMillis(), patienceMillis / 2);
    if (!reachable) {
      reachable = true;
      listener.reachable(prefix, true, "", nowMillis - askedMillis, nowMillis);
    }
  }

  private void failed(Result answer, long nowMillis) {
    dueMillis = nowMillis + nextPause();
    patienceMillis =
        Math.max(timing.patienceMillis(), Math.min(LONGEST_PATIENCE_MILLIS, patienceMillis * 2));
    restartReading();
    if (reachable) {
      reachable = false;
      listener.reachable(prefix, false, answer.toString(), nowMillis - askedMillis, nowMillis);
    }
  }

  private long nextPause() {
    long pause = pauseMillis;
    pauseMillis = Math.min(LONGEST_PAUSE_MILLIS, pauseMillis * 2);
    return pause;
  }
}
