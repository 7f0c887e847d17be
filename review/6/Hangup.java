import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Two of four hosts are restarted in turn, three times. Shortly after each start the settings file
 * changes and the process gets a SIGHUP, which must not end it.
 */
public final class Hangup {

  private static final int HOSTS = 4;

  /** Half of the hosts; the largest share of the site is 0.654. */
  private static final int SIGNALLED_HOSTS = 2;

  private static final int ROUNDS = 3;

  /** When the settings change after the start of the process (ms). */
  private static final long CHANGE_AFTER_START_MILLIS = 300;

  private static final int GRACE_SECONDS = 8;

  public static void main(String[] arguments) {
    Rig.main(Path.of(arguments[0]), Hangup::run);
  }

  private static boolean run(Rig rig) throws Exception {
    rig.configure(
        7,
        List.of(Rig.route("r-1", "/puxa403/", "safe", 3_000, "wuno96b")),
        List.of(Rig.service("wuno96b", "")));
    rig.addRunner("wuno96b", "");
    rig.addRunner("wuno96b", "");
    rig.startNodes(HOSTS);
    AtomicBoolean stop = new AtomicBoolean();
    AtomicInteger answered = new AtomicInteger();
    AtomicInteger failed = new AtomicInteger();
    Thread consumer = new Thread(() -> consume(rig, stop, answered, failed));
    consumer.start();
    int[] ownEnds = new int[HOSTS];
    for (int round = 1; round <= ROUNDS; round++) {
      for (int i = 0; i < SIGNALLED_HOSTS; i++) {
        Rig.Node node = rig.nodes.get(i);
        node.signal("TERM");
        Rig.require(node.process.waitFor(GRACE_SECONDS, TimeUnit.SECONDS), "the host did not stop in time");
        node.start();
        TimeUnit.MILLISECONDS.sleep(CHANGE_AFTER_START_MILLIS);
        Rig.require(!ignoresHangup(node.process.pid()), "the host was started with SIGHUP ignored");
        if (rig.trouble) {
          node.changeSettings(round % HOSTS);
          node.signal("HUP");
        }
        boolean exited = node.process.waitFor(2, TimeUnit.SECONDS);
        if (exited) {
          ownEnds[i]++;
          rig.note(
              "round %d, host %d: ended by itself with exit code %d after the SIGHUP %d ms after its start",
              round, node.number, node.process.exitValue(), CHANGE_AFTER_START_MILLIS);
          // The platform starts a process again that has ended.
          node.start();
        }
        Rig.require(node.awaitReady(20_000), "the host is not ready again");
        rig.note("round %d, host %d: ready", round, node.number);
      }
    }
    stop.set(true);
    consumer.join();
    long hostsThatEndedThreeTimes = java.util.Arrays.stream(ownEnds).filter(ends -> ends >= 3).count();
    rig.note("requests answered %d, failed %d", answered.get(), failed.get());
    rig.note("Fault: processes ended by themselves, by host: %s", java.util.Arrays.toString(ownEnds));
    return hostsThatEndedThreeTimes < 2;
  }

  /** Returns whether a process ignores SIGHUP because its parent did. */
  private static boolean ignoresHangup(long pid) throws IOException {
    return Files.readAllLines(Path.of("/proc/" + pid + "/status")).stream()
        .filter(line -> line.startsWith("SigIgn:"))
        .anyMatch(line -> (Long.parseUnsignedLong(line.substring(7).trim(), 16) & 1) != 0);
  }

  /** Sends requests to the host that is not restarted. */
  private static void consume(Rig rig, AtomicBoolean stop, AtomicInteger answered, AtomicInteger failed) {
    for (int i = 0; !stop.get(); i++) {
      try (Rig.Client client = new Rig.Client(rig.nodes.get(HOSTS - 1).ip, 8149)) {
        Rig.Response response = client.call(Rig.request("/puxa403/2f", "h" + i, 3_000, ""), 4_000);
        (response.status == 200 ? answered : failed).incrementAndGet();
        TimeUnit.MILLISECONDS.sleep(100);
      } catch (IOException e) {
        failed.incrementAndGet();
      } catch (InterruptedException e) {
        return;
      }
    }
  }
}
