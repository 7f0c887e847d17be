package org.sequoiahub.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** Draws faults and undoes each after a while; they overlap and come in series. */
final class Faults {

  private static final int MAX_HARM_MILLIS = 3_000;
  private static final int MAX_DELAY_MILLIS = 80;

  private final Soak soak;
  private final Random random;
  private final ScheduledExecutorService later;
  private int count;

  /** What can fail with an exception, as most faults can. */
  @FunctionalInterface
  private interface Harm {
    void run() throws Exception;
  }

  Faults(Soak soak, Random random, ScheduledExecutorService later) {
    this.soak = soak;
    this.random = random;
    this.later = later;
  }

  /** Returns how many faults there were. */
  int count() {
    return count;
  }

  /** Injects the next fault. */
  void next() {
    count++;
    HostProcess host = pick(soak.hosts());
    FaultProxy proxy = pick(random.nextBoolean() ? soak.storeProxies() : soak.runnerProxies());
    long millis = 200 + random.nextInt(MAX_HARM_MILLIS);
    switch (random.nextInt(10)) {
      case 0 -> now("kill " + host.name(), host::kill, millis / 2, host::start);
      case 1 -> now("stop " + host.name(), () -> stop(host), millis / 2, host::start);
      case 2 ->
          now("pause " + host.name(), () -> host.signal("STOP"), millis, () -> host.signal("CONT"));
      case 3 -> now("hangup " + host.name(), () -> host.signal("HUP"), 0, () -> {});
      case 4 -> now("reset", proxy::reset, 0, () -> {});
      case 5 -> lose(proxy, FaultProxy.Mode.LOSE_ANSWERS, millis);
      case 6 -> lose(proxy, FaultProxy.Mode.LOSE_REQUESTS, millis);
      case 7 ->
          now(
              "delay",
              () -> proxy.delay(random.nextInt(MAX_DELAY_MILLIS)),
              millis,
              () -> proxy.delay(0));
      case 8 -> store(millis);
      default -> {
        int runner = random.nextInt(soak.runnerProxies().size());
        boolean announced = random.nextBoolean();
        now("replace runner", () -> soak.replaceRunner(runner, announced), 0, () -> {});
      }
    }
  }

  private void store(long millis) {
    switch (random.nextInt(3)) {
      case 0 ->
          now(
              "store down",
              () -> soak.store().setDown(true),
              millis,
              () -> soak.store().setDown(false));
      case 1 -> now("store forgets", () -> soak.store().compact(), 0, () -> {});
      default -> now("configuration", soak::changeConfiguration, 0, () -> {});
    }
  }

  private void lose(FaultProxy proxy, FaultProxy.Mode mode, long millis) {
    now(
        mode.name(),
        () -> proxy.mode(mode),
        millis,
        () -> {
          proxy.mode(FaultProxy.Mode.PASS);
          proxy.reset();
        });
  }

  private void stop(HostProcess host) throws Exception {
    if (host.stop()) {
      soak.killedAtStop(host);
    }
  }

  private void now(String what, Harm harm, long millis, Harm undo) {
    System.out.printf("event=fault what=\"%s\" for_ms=%d%n", what, millis);
    later.execute(() -> run(harm));
    later.schedule(() -> run(undo), millis, TimeUnit.MILLISECONDS);
  }

  /** Ends all harm that is still done, and starts the processes that do not run. */
  void undoAll() {
    soak.store().setDown(false);
    List<FaultProxy> proxies = new ArrayList<>(soak.storeProxies());
    proxies.addAll(soak.runnerProxies());
    for (FaultProxy proxy : proxies) {
      proxy.delay(0);
      proxy.mode(FaultProxy.Mode.PASS);
      proxy.reset();
    }
    for (HostProcess host : soak.hosts()) {
      later.schedule(() -> run(() -> host.signal("CONT")), MAX_HARM_MILLIS, TimeUnit.MILLISECONDS);
      later.schedule(
          () -> run(host::start),
          MAX_HARM_MILLIS + HostProcess.GRACE_MILLIS,
          TimeUnit.MILLISECONDS);
    }
  }

  @SuppressWarnings("CatchAndPrintStackTrace")
  private static void run(Harm harm) {
    try {
      harm.run();
    } catch (Exception e) {
      System.out.println("event=fault-failed why=\"" + e + "\"");
    }
  }

  private <T> T pick(List<T> from) {
    return from.get(random.nextInt(from.size()));
  }
}
