package org.sequoiahub.node.store;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.sequoiahub.usersplatform.StoreClient.Answer;
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

  /**
   * Longest pause after failed calls (ms): the store is asked again well within the 2 s in which a
   * change must be in force.
   */
  private static final long LONGEST_PAUSE_MILLIS = 400;

  /** A call that takes this much longer than it may wait is given up (ms). */
  private static final long CALL_TIMEOUT_MILLIS = 1_200;

  private final StoreReader client;
  private final String prefix;
  private final long waitMillis;
  private final long spacingMillis;
  private final StoreListener listener;
  private final Consumer<Runnable> decisions;
  private final LongSupplier clock;
  private long revision = -1;
  private long dueMillis;
  private long pauseMillis = FIRST_PAUSE_MILLIS;
  private boolean calling;
  private boolean reachable = true;
  private List<StoredItem> pages = new ArrayList<>();
  private long firstPageRevision;
  private String after = "";

  /**
   * Creates a follower; {@link #tick} makes the calls.
   *
   * @param waitMillis how long the store may hold a watch
   * @param spacingMillis watches start at least this far apart: each call has a price, and the
   *     changes of one pause come with one call
   */
  public StoreFollower(
      StoreReader client,
      String prefix,
      long waitMillis,
      long spacingMillis,
      StoreListener listener,
      Consumer<Runnable> decisions,
      LongSupplier clock) {
    this.client = client;
    this.prefix = prefix;
    this.waitMillis = waitMillis;
    this.spacingMillis = spacingMillis;
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
    dueMillis = nowMillis + spacingMillis;
    if (revision < 0) {
      client.range(prefix, after, CALL_TIMEOUT_MILLIS, answer -> post(() -> page(answer)));
    } else {
      client.watch(
          prefix,
          revision,
          waitMillis,
          waitMillis + CALL_TIMEOUT_MILLIS,
          answer -> post(() -> changes(answer)));
    }
  }

  /** Returns whether the last call was answered. */
  public boolean isReachable() {
    return reachable;
  }

  private void post(Runnable work) {
    decisions.accept(work);
  }

  private void page(Answer answer) {
    long now = clock.getAsLong();
    calling = false;
    if (!(answer instanceof Answer.Items items)) {
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
    listener.whole(prefix, all, revision, now);
  }

  private void changes(Answer answer) {
    long now = clock.getAsLong();
    calling = false;
    if (answer instanceof Answer.Items items) {
      succeeded(now);
      revision = Math.max(revision, items.revision());
      listener.changes(prefix, items.items(), revision, now);
    } else if (answer instanceof Answer.HistoryLost) {
      succeeded(now);
      revision = -1;
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
    pauseMillis = FIRST_PAUSE_MILLIS;
    if (!reachable) {
      reachable = true;
      listener.reachable(prefix, true, "", nowMillis);
    }
  }

  private void failed(Answer answer, long nowMillis) {
    dueMillis = nowMillis + pauseMillis;
    pauseMillis = Math.min(LONGEST_PAUSE_MILLIS, pauseMillis * 2);
    restartReading();
    if (reachable) {
      reachable = false;
      listener.reachable(prefix, false, answer.toString(), nowMillis);
    }
  }
}
