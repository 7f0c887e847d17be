import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Freezes the two hosts of a zone in turn, one at a time, and checks who orders the runners.
 *
 * <p>Arguments: the repository's root, a folder for settings and logs, the file of the record.
 */
public final class Turns {

  private static final long LEASE_MILLIS = 3_000;
  private static final long THAW_MILLIS = 300;
  private static final int FREEZES = 6;
  private static final long FREEZE_MILLIS = 1_300;
  private static final long PERIOD_MILLIS = 1_750;

  private Turns() {}

  private record Freeze(String host, long from, long until) {}

  public static void main(String[] arguments) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Path directory = Path.of(arguments[1]);
    List<String> record = new ArrayList<>();
    int result = 2;
    Store store = new Store("127.0.0.1");
    List<Runner> runners = new ArrayList<>();
    try (Fleet fleet = new Fleet(Path.of(arguments[0]), directory, store)) {
      String[] zones = {"digbeth", "jewellery-qtr", "lace-market", "leamington"};
      int number = 0;
      for (String zone : zones) {
        for (int i = 1; i <= (zone.equals("leamington") ? 1 : 2); i++) {
          number++;
          fleet.add("front-" + zone + "-" + i, zone, "127.0.21." + number);
        }
      }
      store.put(Wire.name("config"), Fleet.configuration(7));
      for (int i = 0; i < 8; i++) {
        runners.add(new Runner(store, "127.0.0.1", "i-s" + i, "scriptdesk", zones[i % 4], true));
      }
      for (int i = 0; i < 4; i++) {
        runners.add(new Runner(store, "127.0.0.1", "i-b" + i, "bookdesk", zones[i], false));
      }
      long begun = System.nanoTime();
      for (Fleet.Host host : fleet.hosts) {
        host.start();
      }
      if (!fleet.awaitReady(30_000)) {
        System.out.println("the hosts did not become ready");
        Files.writeString(Path.of(arguments[2]), "the hosts did not become ready\n");
        System.exit(2);
      }
      Thread.sleep(3_000);
      Map<String, Boolean> frozen = new ConcurrentHashMap<>();
      List<Freeze> freezes = new ArrayList<>();
      try (Load load = new Load(fleet, 40, 1, host -> !frozen.containsKey(host.name))) {
        Thread.sleep(8_000);
        if (trouble) {
          for (int i = 0; i < FREEZES; i++) {
            long due = System.nanoTime() + PERIOD_MILLIS * 1_000_000;
            Fleet.Host host = fleet.find("front-digbeth-" + (1 + i % 2));
            frozen.put(host.name, true);
            host.signal("STOP");
            long from = System.nanoTime();
            Thread.sleep(FREEZE_MILLIS);
            host.signal("CONT");
            long until = System.nanoTime();
            frozen.remove(host.name);
            freezes.add(new Freeze(host.name, from, until));
            Thread.sleep(Math.max(1, (due - System.nanoTime()) / 1_000_000));
          }
          Thread.sleep(3_000);
        } else {
          Thread.sleep(FREEZES * PERIOD_MILLIS + 3_000);
        }
        result = judge(runners, freezes, load, begun, record);
      }
    }
    Files.write(Path.of(arguments[2]), record);
    System.out.println(record.get(record.size() - 1));
    System.exit(result);
  }

  private static int judge(
      List<Runner> runners, List<Freeze> freezes, Load load, long begun, List<String> record) {
    Map<Integer, Integer> answers = new TreeMap<>();
    load.calls.forEach(call -> answers.merge(call.status(), 1, Integer::sum));
    record.add("answers by status (0: none): " + answers);
    for (Freeze freeze : freezes) {
      record.add(
          "frozen %s from %d ms to %d ms"
              .formatted(
                  freeze.host, (freeze.from - begun) / 1_000_000, (freeze.until - begun) / 1_000_000));
    }
    load.calls.forEach(
        call ->
            record.add(
                "sent %d ms: %s %s to %s, answered %d %s"
                    .formatted(
                        (call.nanos() - begun) / 1_000_000,
                        call.kind(),
                        call.requestId(),
                        call.host(),
                        call.status(),
                        call.problem())));
    for (Runner runner : runners) {
      runner.runs.forEach(
          run ->
              record.add(
                  "run %d ms: %s at %s"
                      .formatted((run.nanos() - begun) / 1_000_000, run.requestId(), runner.id)));
    }
    int broken = 0;
    int lower = 0;
    for (Runner runner : runners) {
      Runner.Order last = null;
      long highest = 0;
      String highestOf = "";
      for (Runner.Order order : runner.orders) {
        if (order.status() == 409) {
          continue;
        }
        long at = (order.nanos() - begun) / 1_000_000;
        String note = "";
        if (isJustThawed(order, freezes)) {
          note = " (not counted: its sender was thawed within " + THAW_MILLIS + " ms)";
        } else {
          if (last != null && !last.holder().equals(order.holder())) {
            long gap = (order.nanos() - last.nanos()) / 1_000_000;
            note = " after " + last.holder() + " " + gap + " ms before";
            if (gap < LEASE_MILLIS) {
              note += " BROKEN: a turn within leaseMs";
              broken++;
            }
          }
          if (order.token() < highest) {
            note += " BROKEN: lower token than " + highest + " of " + highestOf;
            lower++;
          } else {
            highest = order.token();
            highestOf = order.holder();
          }
          last = order;
        }
        record.add(
            "order at %s: %d ms, %s, token %d, %s -> %d%s"
                .formatted(
                    runner.id, at, order.holder(), order.token(), order.what(), order.status(), note));
      }
    }
    Map<String, Integer> orders = new HashMap<>();
    runners.forEach(r -> r.orders.forEach(o -> orders.merge(o.holder(), 1, Integer::sum)));
    record.add("orders by holder: " + new TreeMap<>(orders));
    record.add("turns within leaseMs: " + broken + ", lower tokens after higher: " + lower);
    if (orders.isEmpty() || answers.getOrDefault(200, 0) == 0) {
      return 2;
    }
    return broken + lower > 0 ? 1 : 0;
  }

  private static boolean isJustThawed(Runner.Order order, List<Freeze> freezes) {
    return freezes.stream()
        .anyMatch(
            freeze ->
                freeze.host.equals(order.holder())
                    && order.nanos() > freeze.from
                    && order.nanos() < freeze.until + THAW_MILLIS * 1_000_000);
  }
}
