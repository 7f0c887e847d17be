import java.io.BufferedReader;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Kills model servers while they send streams, some of which end with their channel, and checks
 * that no caller gets a part of a stream as a complete one.
 *
 * <p>Arguments: the repository's root, a folder for settings and logs, the file of the record.
 */
public final class Ends {

  private static final int RUNNERS = 8;
  private static final int CRASHES = 8;
  private static final long CRASH_PERIOD_MILLIS = 4_000;
  private static final long DOWN_MILLIS = 3_000;
  private static final long HEARTBEAT_MILLIS = 1_200;
  private static final String[] ZONES = {"digbeth", "jewellery-qtr", "lace-market", "leamington"};

  private static final List<String> LINES = new CopyOnWriteArrayList<>();
  private static final Map<String, String> FRAMING = new ConcurrentHashMap<>();
  private static long begun;

  private Ends() {}

  /** A place at which one runner process runs at a time; each start has a new id. */
  private static final class Place {
    final Store store;
    final Path root;
    final int index;
    int starts;
    volatile Process process;
    volatile String id = "";
    volatile String address = "";
    volatile long born;
    private long beats;

    Place(Store store, Path root, int index) {
      this.store = store;
      this.root = root;
      this.index = index;
    }

    void start() throws IOException {
      id = "i-s" + index + "-" + ++starts;
      Process started =
          new ProcessBuilder(
                  "java",
                  "-Xmx64m",
                  "-XX:+UseSerialGC",
                  "-XX:TieredStopAtLevel=1",
                  "-cp",
                  root.resolve("target/review/classes").toString(),
                  "RunnerProcess",
                  id,
                  "127.0.0.1")
              .redirectError(ProcessBuilder.Redirect.DISCARD)
              .start();
      BufferedReader output = started.inputReader(StandardCharsets.UTF_8);
      String[] first = output.readLine().split(" ");
      address = "127.0.0.1:" + first[1];
      born = Long.parseLong(first[2]);
      process = started;
      String name = id;
      Thread reader = new Thread(() -> read(output, name), "read-" + id);
      reader.setDaemon(true);
      reader.start();
      beat();
    }

    private static void read(BufferedReader output, String name) {
      try {
        for (String line = output.readLine(); line != null; line = output.readLine()) {
          String[] words = line.split(" ");
          if (words[0].equals("run")) {
            FRAMING.put(words[1], words[2]);
          }
          LINES.add(now() + " ms: " + name + ": " + line);
        }
      } catch (IOException e) {
        // The process was killed.
      }
    }

    void beat() {
      store.put(
          "servers/" + id,
          "{\"service\":\"scriptdesk\",\"address\":\"%s\",\"zone\":\"%s\",\"version\":\"v1\","
                  .formatted(address, ZONES[index % ZONES.length])
              + "\"slots\":64,\"state\":\"ready\",\"%s\":0,\"born\":%d,\"sequence\":%d,"
                  .formatted(Wire.name("cold"), born, ++beats)
              + "\"stage\":\"both\",\"models\":[{\"name\":\"m0\",\"version\":1,\"adapters\":[]}]}");
    }
  }

  private static long now() {
    return (System.nanoTime() - begun) / 1_000_000;
  }

  public static void main(String[] arguments) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Path root = Path.of(arguments[0]);
    begun = System.nanoTime();
    Store store = new Store("127.0.0.1");
    List<Place> places = new ArrayList<>();
    Runtime.getRuntime()
        .addShutdownHook(
            new Thread(
                () ->
                    places.forEach(
                        place -> {
                          if (place.process != null) {
                            place.process.destroyForcibly();
                          }
                        })));
    int broken = 0;
    int served = 0;
    try (Fleet fleet = new Fleet(root, Path.of(arguments[1]), store)) {
      for (int i = 0; i < 7; i++) {
        fleet.add("front-" + ZONES[i % 4] + "-" + (1 + i / 4), ZONES[i % 4], "127.0.26." + (i + 1));
      }
      store.put(Wire.name("config"), Fleet.configuration(7));
      for (int i = 0; i < RUNNERS; i++) {
        Place place = new Place(store, root, i);
        places.add(place);
        place.start();
      }
      Thread beats = new Thread(() -> beats(places), "beats");
      beats.setDaemon(true);
      beats.start();
      for (Fleet.Host host : fleet.hosts) {
        host.start();
      }
      if (!fleet.awaitReady(30_000)) {
        Files.writeString(Path.of(arguments[2]), "the hosts did not become ready\n");
        System.exit(2);
      }
      Thread.sleep(3_000);
      try (Load load = new Load(fleet, 30, 1, host -> true, 1.0, 12)) {
        Thread.sleep(6_000);
        for (int i = 0; i < CRASHES; i++) {
          long due = System.nanoTime() + CRASH_PERIOD_MILLIS * 1_000_000;
          if (trouble) {
            Place place = places.get(i % RUNNERS);
            String gone = place.id;
            Process killed = place.process;
            place.process = null;
            killed.destroyForcibly();
            LINES.add(now() + " ms: " + gone + " crashes (SIGKILL)");
            killed.waitFor();
            Thread.sleep(DOWN_MILLIS);
            store.delete("servers/" + gone);
            place.start();
            LINES.add(now() + " ms: " + place.id + " starts");
          }
          Thread.sleep(Math.max(1, (due - System.nanoTime()) / 1_000_000));
        }
        Thread.sleep(3_000);
        for (Load.Call call : load.calls) {
          int events = count(call.body());
          String note = "";
          if (call.status() == 200 && events == RunnerProcess.EVENTS) {
            served++;
          } else if (call.status() == 200) {
            broken++;
            note = " BROKEN: complete for its caller";
          }
          LINES.add(
              "sent %d ms: %s %s (%s) to %s, answered %d, %d of %d events %s%s"
                  .formatted(
                      (call.nanos() - begun) / 1_000_000,
                      call.kind(),
                      call.requestId(),
                      FRAMING.getOrDefault(call.requestId(), "not run"),
                      call.host(),
                      call.status(),
                      events,
                      RunnerProcess.EVENTS,
                      call.problem(),
                      note));
        }
      }
    }
    LINES.add("whole streams: " + served + ", parts that were complete for their callers: " + broken);
    Files.write(Path.of(arguments[2]), LINES);
    System.out.println(LINES.get(LINES.size() - 1));
    System.exit(served == 0 ? 2 : broken > 0 ? 1 : 0);
  }

  private static int count(String body) {
    return body.isEmpty() ? 0 : body.split("\n\n").length;
  }

  private static void beats(List<Place> places) {
    try {
      while (true) {
        Thread.sleep(HEARTBEAT_MILLIS);
        places.stream().filter(place -> place.process != null).forEach(Place::beat);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
