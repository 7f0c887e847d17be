package org.sequoiahub.soak;

import java.util.Random;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** Suspends runners at random, beside bursts of configurations and of signals. */
final class SuspensionInjector {

  private static final int MIN_SUSPENSION_MILLIS = 300;
  private static final int MAX_SUSPENSION_MILLIS = 3_000;
  private static final int BURST_LENGTH = 6;
  private static final long BURST_INTERVAL_MILLIS = 150;

  private final Soak soak;
  private final Random random;
  private final ScheduledExecutorService scheduler;

  /**
   * Creates an injector.
   *
   * @param random draws the suspensions and bursts
   */
  SuspensionInjector(Soak soak, Random random, ScheduledExecutorService scheduler) {
    this.soak = soak;
    this.random = random;
    this.scheduler = scheduler;
  }

  /** Injects nothing, a suspension of one, of some or of all runners, or a burst. */
  void injectNext() {
    int first = random.nextInt(soak.runnerCount());
    long millis =
        MIN_SUSPENSION_MILLIS + random.nextInt(MAX_SUSPENSION_MILLIS - MIN_SUSPENSION_MILLIS);
    HostProcess host = soak.hosts().get(random.nextInt(soak.hosts().size()));
    switch (random.nextInt(12)) {
      case 0, 1, 2, 3 -> suspend(first, 1, millis);
      case 4 -> suspend(first, soak.runnerCount() / 3, millis);
      case 5 -> suspend(first, soak.runnerCount(), millis);
      case 6 -> burst("configurations", soak::rewriteConfiguration);
      case 7 -> burst("hangups of " + host.name(), () -> host.trySignal("HUP"));
      default -> {}
    }
  }

  private void suspend(int first, int count, long millis) {
    System.out.printf("event=fault what=\"suspend %d runners\" for_ms=%d%n", count, millis);
    for (int number = 0; number < count; number++) {
      soak.runner((first + number) % soak.runnerCount()).suspend(millis);
    }
  }

  private void burst(String what, Runnable action) {
    System.out.printf("event=fault what=\"burst of %s\"%n", what);
    for (int number = 0; number < BURST_LENGTH; number++) {
      scheduler.schedule(action, number * BURST_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }
  }
}
