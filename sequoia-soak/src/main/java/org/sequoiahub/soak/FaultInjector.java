package org.sequoiahub.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.sequoiahub.usersplatform.standin.StandinRunner;

/** Injects random faults and undoes each one after a random time; faults may overlap. */
final class FaultInjector {

  private static final int MAX_FAULT_MILLIS = 3_000;
  private static final int MAX_DELAY_MILLIS = 80;

  /** One fault in this many comes with a runner that states something in its responses. */
  private static final int STATEMENT_ONE_IN = 4;

  private static final String BACKOFF_SECONDS = "0.8";

  private final Soak soak;
  private final Random random;
  private final Random statementRandom;
  private final ScheduledExecutorService scheduler;
  private int count;

  /** Injects or undoes a fault; may throw any exception. */
  @FunctionalInterface
  private interface FaultAction {
    void run() throws Exception;
  }

  /**
   * Creates an injector.
   *
   * @param random draws the faults
   * @param statementRandom draws what runners state, so that a seed draws the same other faults
   *     with or without it
   */
  FaultInjector(Soak soak, Random random, Random statementRandom, ScheduledExecutorService later) {
    this.soak = soak;
    this.random = random;
    this.statementRandom = statementRandom;
    this.scheduler = later;
  }

  /** Returns the number of injected faults. */
  int count() {
    return count;
  }

  /** Injects one random fault and schedules its end. */
  void injectNext() {
    count++;
    if (statementRandom.nextInt(STATEMENT_ONE_IN) == 0) {
      injectStatement();
    }
    HostProcess host = pickRandom(soak.hosts());
    FaultProxy proxy =
        pickRandom(random.nextBoolean() ? soak.storeProxies() : soak.runnerProxies());
    long millis = 200 + random.nextInt(MAX_FAULT_MILLIS);
    switch (random.nextInt(10)) {
      case 0 -> inject("kill " + host.name(), host::kill, millis / 2, host::start);
      case 1 -> inject("stop " + host.name(), () -> stopHost(host), millis / 2, host::start);
      case 2 ->
          inject(
              "pause " + host.name(), () -> host.signal("STOP"), millis, () -> host.signal("CONT"));
      case 3 -> inject("hangup " + host.name(), () -> host.signal("HUP"), 0, () -> {});
      case 4 -> inject("reset", proxy::resetConnections, 0, () -> {});
      case 5 -> injectLoss(proxy, FaultProxy.Mode.LOSE_ANSWERS, millis);
      case 6 -> injectLoss(proxy, FaultProxy.Mode.LOSE_REQUESTS, millis);
      case 7 ->
          inject(
              "delay",
              () -> proxy.delay(random.nextInt(MAX_DELAY_MILLIS)),
              millis,
              () -> proxy.delay(0));
      case 8 -> injectStoreFault(millis);
      default -> {
        int runner = random.nextInt(soak.runnerProxies().size());
        boolean announced = random.nextBoolean();
        inject("replace runner", () -> soak.replaceRunner(runner, announced), 0, () -> {});
      }
    }
  }

  private void injectStatement() {
    int index = statementRandom.nextInt(soak.runnerProxies().size());
    long millis = 200 + statementRandom.nextInt(MAX_FAULT_MILLIS);
    if (statementRandom.nextBoolean()) {
      inject("runner leaves by its responses", () -> soak.leaveByResponses(index), 0, () -> {});
    } else {
      StandinRunner runner = soak.runner(index);
      inject(
          "backoff " + runner.id(),
          () -> runner.refuseWithBackoff(BACKOFF_SECONDS),
          millis,
          () -> runner.refuseWithBackoff(""));
    }
  }

  private void injectStoreFault(long millis) {
    switch (random.nextInt(3)) {
      case 0 ->
          inject(
              "store down", () -> soak.setStoreDown(true), millis, () -> soak.setStoreDown(false));
      case 1 -> inject("store compacts its history", () -> soak.store().compact(), 0, () -> {});
      default -> inject("configuration", soak::rewriteConfiguration, 0, () -> {});
    }
  }

  private void injectLoss(FaultProxy proxy, FaultProxy.Mode mode, long millis) {
    inject(
        mode.name(),
        () -> proxy.mode(mode),
        millis,
        () -> {
          proxy.mode(FaultProxy.Mode.PASS);
          proxy.resetConnections();
        });
  }

  private void stopHost(HostProcess host) throws Exception {
    if (host.stop()) {
      soak.recordKilledAtStop(host);
    }
  }

  private void inject(String fault, FaultAction action, long millis, FaultAction undo) {
    System.out.printf("event=fault what=\"%s\" for_ms=%d%n", fault, millis);
    scheduler.execute(() -> run(action));
    scheduler.schedule(() -> run(undo), millis, TimeUnit.MILLISECONDS);
  }

  /**
   * Undoes all faults that are still in effect, and schedules the resumption of all paused host
   * processes and the start of those that are not running.
   */
  void undoAll() {
    soak.setStoreDown(false);
    List<FaultProxy> proxies = new ArrayList<>(soak.storeProxies());
    proxies.addAll(soak.runnerProxies());
    for (FaultProxy proxy : proxies) {
      proxy.delay(0);
      proxy.mode(FaultProxy.Mode.PASS);
      proxy.resetConnections();
    }
    for (HostProcess host : soak.hosts()) {
      scheduler.schedule(
          () -> run(() -> host.signal("CONT")), MAX_FAULT_MILLIS, TimeUnit.MILLISECONDS);
      scheduler.schedule(
          () -> run(host::start),
          MAX_FAULT_MILLIS + HostProcess.GRACE_MILLIS,
          TimeUnit.MILLISECONDS);
    }
  }

  @SuppressWarnings("CatchAndPrintStackTrace")
  private static void run(FaultAction action) {
    try {
      action.run();
    } catch (Exception e) {
      System.out.println("event=fault-failed why=\"" + e + "\"");
    }
  }

  private <T> T pickRandom(List<T> elements) {
    return elements.get(random.nextInt(elements.size()));
  }
}
