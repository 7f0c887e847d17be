package org.sequoiahub.soak;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.sequoiahub.usersplatform.standin.StandinStore;

/**
 * Brings the store back from copies that are some seconds old. What it lost is written again later,
 * in another order. After each restore the configuration changes and a runner leaves.
 */
final class RestoreInjector {

  /** One fault in this many comes with a restore if the last one is long ago. */
  private static final int RESTORE_ONE_IN = 2;

  /** One restore in this many is followed by another one before anything else changes. */
  private static final int SECOND_ONE_IN = 4;

  /** The time after a restore without another one, in which its consequences are checked (ns). */
  private static final long QUIET_NANOS = TimeUnit.MILLISECONDS.toNanos(6_000);

  /** How many of the last copies a restore may take: about one is made every half second. */
  private static final int COPIES = 6;

  private static final int MAX_DOWN_MILLIS = 800;
  private static final int MAX_REWRITE_MILLIS = 3_000;
  private static final int MAX_CHANGE_MILLIS = 600;
  private static final int SECOND_AFTER_MILLIS = 500;
  private static final int MAX_REWRITES = 16;

  private final Soak soak;
  private final Random random;
  private final ScheduledExecutorService scheduler;
  private final Deque<StandinStore.Copy> copies = new ArrayDeque<>();
  private long quietUntilNanos = System.nanoTime();

  /**
   * Creates an injector.
   *
   * @param random draws the restores
   */
  RestoreInjector(Soak soak, Random random, ScheduledExecutorService scheduler) {
    this.soak = soak;
    this.random = random;
    this.scheduler = scheduler;
  }

  /** Makes a copy of the store, and restores it from an older one in some of the calls. */
  void injectNext() {
    copies.addLast(soak.store().copy());
    if (copies.size() > COPIES) {
      copies.removeFirst();
    }
    if (random.nextInt(RESTORE_ONE_IN) > 0 || System.nanoTime() - quietUntilNanos < 0) {
      return;
    }
    quietUntilNanos = System.nanoTime() + QUIET_NANOS;
    final StandinStore.Copy copy = List.copyOf(copies).get(random.nextInt(copies.size()));
    int downMillis = random.nextBoolean() ? random.nextInt(MAX_DOWN_MILLIS) : 0;
    int secondMillis = random.nextInt(SECOND_ONE_IN) == 0 ? downMillis + SECOND_AFTER_MILLIS : 0;
    final int changeMillis = Math.max(downMillis, secondMillis) + random.nextInt(MAX_CHANGE_MILLIS);
    final int leavingRunner = random.nextInt(soak.runnerCount());
    List<Integer> rewriteMillis = new ArrayList<>();
    int lastRewriteMillis = 1 + random.nextInt(MAX_REWRITE_MILLIS);
    for (int write = 0; write < MAX_REWRITES; write++) {
      rewriteMillis.add(random.nextInt(lastRewriteMillis));
    }
    System.out.printf("event=fault what=\"store restored\" down_ms=%d%n", downMillis);
    if (downMillis > 0) {
      soak.setStoreDown(true);
    }
    later(downMillis, () -> restore(copy, rewriteMillis));
    if (secondMillis > 0) {
      later(secondMillis, () -> restore(copy, rewriteMillis));
    }
    later(changeMillis, soak::writeMarkedConfiguration);
    later(changeMillis, () -> soak.leaveByEntry(leavingRunner));
  }

  private void restore(StandinStore.Copy copy, List<Integer> rewriteMillis) {
    long restoredNanos = System.nanoTime();
    List<StandinStore.LostWrite> lost = soak.restoreStore(copy);
    soak.setStoreDown(false);
    for (int number = 0; number < lost.size(); number++) {
      StandinStore.LostWrite write = lost.get(number);
      later(
          rewriteMillis.get(number % rewriteMillis.size()),
          () -> soak.rewrite(write, restoredNanos));
    }
  }

  private void later(long millis, Runnable action) {
    scheduler.schedule(action, millis, TimeUnit.MILLISECONDS);
  }
}
