package org.sequoiahub.node.store;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import java.util.function.LongSupplier;
import org.jspecify.annotations.Nullable;
import org.sequoiahub.core.store.StorePosition;
import org.sequoiahub.usersplatform.StoreClient.Result;
import org.sequoiahub.usersplatform.StoreReader;
import org.sequoiahub.usersplatform.StoredItem;

/**
 * Follows one prefix of the store: reads it completely, then watches it, and starts over when the
 * store has dropped the history since the last answer, or has begun a new era: what it wrote since
 * may have the revisions of changes that are known.
 *
 * <p>While the store does not answer, calls are made at a fixed interval although earlier ones are
 * still pending: a call that the store lost looks like one that it answers slowly, and must hide
 * the store's recovery no longer than that interval. The first answer counts. No call is made while
 * a response arrives, which may take longer than the interval: they would share the link.
 *
 * <p>Runs on the decision thread, to which {@code decisionExecutor} passes the answers.
 */
public final class StoreFollower {

  /** Backoff after the first refused call (ms); doubles up to the maximum. */
  private static final long INITIAL_BACKOFF_MILLIS = 100;

  private static final long MAX_BACKOFF_MILLIS = 400;

  /** Maximum time that an answer may take beyond the hold (ms), for a slow store. */
  private static final long MAX_ANSWER_TIMEOUT_MILLIS = 1_200;

  /**
   * How long the store may hold a watch that only checks whether the store answers (ms); also the
   * shortest hold while the store is slow.
   */
  private static final long PROBE_HOLD_MILLIS = 1;

  private final StoreReader client;
  private final String prefix;
  private final WatchTiming timing;
  private final StoreEras eras;
  private final StoreListener listener;
  private final Consumer<Runnable> decisionExecutor;
  private final LongSupplier clock;
  private final DoubleSupplier draw;

  /** Up to where this follower has read; null while it reads completely. */
  private @Nullable StorePosition position;

  /** The era of the reading or the watch in progress. */
  private long era;

  private long dueMillis;
  private long backoffMillis = INITIAL_BACKOFF_MILLIS;
  private long answerTimeoutMillis;

  /**
   * Number of answers so far; a later answer to a call that was made before the last is ignored.
   */
  private long answeredRound;

  /** Number of pending calls that were made since the last answer. */
  private int pendingCalls;

  /** Number of pending calls whose response has begun to arrive. */
  private int arrivingCalls;

  private boolean reachable = true;

  /** Whether one complete answer is wanted, however long ago the last call was made. */
  private boolean probing;

  private boolean rereading;
  private List<StoredItem> readItems = new ArrayList<>();
  private StorePosition firstPagePosition = StorePosition.NONE;
  private long firstPageCalledMillis;
  private String lastKey = "";

  /**
   * Creates a follower; {@link #tick} makes the calls.
   *
   * @param eras the eras of the store, which all followers of a host share
   * @param draw returns uniformly distributed random numbers from 0 to 1, by which the calls of
   *     different hosts spread over time
   */
  public StoreFollower(
      StoreReader client,
      String prefix,
      WatchTiming timing,
      StoreEras eras,
      StoreListener listener,
      Consumer<Runnable> decisionExecutor,
      LongSupplier clock,
      DoubleSupplier draw) {
    this.client = client;
    this.prefix = prefix;
    this.timing = timing;
    this.answerTimeoutMillis = timing.answerTimeoutMillis();
    this.eras = eras;
    this.listener = listener;
    this.decisionExecutor = decisionExecutor;
    this.clock = clock;
    this.draw = draw;
  }

  /** Makes the next call if it is due; while the store answers, only one is pending at a time. */
  public void tick(long nowMillis) {
    if (position != null && eras.current() > era) {
      abandonCalls();
      readAgain(nowMillis);
    }
    boolean waits = reachable || probing || arrivingCalls > 0;
    if (nowMillis < dueMillis || (waits && pendingCalls > 0)) {
      return;
    }
    long interval =
        reachable ? timing.minIntervalMillis() : timing.probeIntervalMillis(draw.getAsDouble());
    dueMillis = nowMillis + interval;
    pendingCalls++;
    StorePosition watched = position;
    PendingCall call = new PendingCall(watched == null, nowMillis);
    if (watched == null) {
      client.range(prefix, lastKey, answerTimeoutMillis, call);
    } else {
      long hold = reachable && !probing ? holdMillis() : PROBE_HOLD_MILLIS;
      client.watch(prefix, watched.revision(), hold, hold + answerTimeoutMillis, call);
    }
  }

  /** A call whose response is outstanding. */
  private final class PendingCall implements StoreReader.Listener {
    private final boolean page;
    private final long calledMillis;
    private final long round = answeredRound;
    private boolean arriving;

    PendingCall(boolean page, long calledMillis) {
      this.page = page;
      this.calledMillis = calledMillis;
    }

    @Override
    public void begun() {
      decisionExecutor.accept(
          () -> {
            if (round == answeredRound) {
              arriving = true;
              arrivingCalls++;
            }
          });
    }

    @Override
    public void completed(Result answer) {
      decisionExecutor.accept(() -> received(answer, this));
    }
  }

  /**
   * Requests one answer of the store that is not held. {@link #tick} makes the calls for it until
   * {@link #isProbing} returns false: the store has answered completely, or a call has failed.
   */
  public void probe(long nowMillis) {
    abandonCalls();
    probing = true;
    dueMillis = nowMillis;
  }

  /** Returns whether the answer to {@link #probe} is outstanding. */
  public boolean isProbing() {
    return probing;
  }

  /** Returns the timing of the watches. */
  public WatchTiming timing() {
    return timing;
  }

  /** Returns a hold that keeps the total time of a watch the same while answers are slow. */
  private long holdMillis() {
    long slower = answerTimeoutMillis - timing.answerTimeoutMillis();
    return Math.max(PROBE_HOLD_MILLIS, timing.holdMillis() - slower);
  }

  /** Returns whether the last completed call was answered. */
  public boolean isReachable() {
    return reachable;
  }

  private void received(Result answer, PendingCall call) {
    final long now = clock.getAsLong();
    if (call.round != answeredRound) {
      return;
    }
    final long calledMillis = call.calledMillis;
    final boolean page = call.page;
    pendingCalls--;
    arrivingCalls -= call.arriving ? 1 : 0;
    if (!eras.accept(prefix, answer.era())) {
      Result obsolete = new Result.Failed("response of an earlier era", answer.era());
      failed(obsolete, calledMillis, now);
      return;
    }
    if (answer instanceof Result.Failed) {
      failed(answer, calledMillis, now);
      return;
    }
    abandonCalls();
    succeeded(calledMillis, now);
    boolean continued = answer.era() == era || (page && lastKey.isEmpty());
    if (answer instanceof Result.Items items && continued) {
      era = answer.era();
      itemsReceived(items, page, calledMillis, now);
    } else {
      readAgain(now);
    }
  }

  private void itemsReceived(Result.Items items, boolean page, long calledMillis, long nowMillis) {
    if (page) {
      pageReceived(items, calledMillis, nowMillis);
      return;
    }
    rereading = false;
    probing = false;
    backoffMillis = INITIAL_BACKOFF_MILLIS;
    StorePosition known = requireNonNull(position, "a watch has a position");
    position = StorePosition.max(known, items.position());
    listener.changes(prefix, items.items(), position, calledMillis, nowMillis);
  }

  /** Ignores the results of all calls so far. */
  private void abandonCalls() {
    answeredRound++;
    pendingCalls = 0;
    arrivingCalls = 0;
  }

  private void readAgain(long nowMillis) {
    position = null;
    rereading = true;
    dueMillis = nowMillis;
    restartReading();
  }

  private void pageReceived(Result.Items items, long calledMillis, long nowMillis) {
    if (lastKey.isEmpty()) {
      // Later pages may show later states. The watch starts at the position of the first page and
      // repeats their changes.
      firstPagePosition = items.position();
      firstPageCalledMillis = calledMillis;
    }
    readItems.addAll(items.items());
    dueMillis = nowMillis;
    if (items.more() && !items.items().isEmpty()) {
      lastKey = items.items().get(items.items().size() - 1).key();
      return;
    }
    position = firstPagePosition;
    probing = false;
    List<StoredItem> all = readItems;
    restartReading();
    if (rereading) {
      // If this reading is already older than the store's history, the next one would follow at
      // once.
      dueMillis = nowMillis + nextBackoff();
    }
    listener.snapshot(prefix, all, firstPagePosition, firstPageCalledMillis, nowMillis);
  }

  private void restartReading() {
    readItems = new ArrayList<>();
    lastKey = "";
  }

  private void succeeded(long calledMillis, long nowMillis) {
    answerTimeoutMillis = Math.max(timing.answerTimeoutMillis(), answerTimeoutMillis / 2);
    if (!reachable) {
      reachable = true;
      dueMillis = nowMillis;
      listener.reachabilityChanged(prefix, true, "", nowMillis - calledMillis, nowMillis);
    }
  }

  private void failed(Result answer, long calledMillis, long nowMillis) {
    probing = false;
    boolean unanswered = nowMillis - calledMillis >= timing.answerTimeoutMillis();
    if (!unanswered) {
      // A refusal shows that the store is there, so the calls are made less often.
      dueMillis = Math.max(dueMillis, nowMillis + nextBackoff());
    }
    answerTimeoutMillis =
        Math.max(
            timing.answerTimeoutMillis(),
            Math.min(MAX_ANSWER_TIMEOUT_MILLIS, answerTimeoutMillis * 2));
    if (reachable) {
      reachable = false;
      dueMillis = unanswered ? nowMillis : dueMillis;
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
