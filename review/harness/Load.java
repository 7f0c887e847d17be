import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/** Callers that send the small site's kinds of request at a steady rate, each on a new channel. */
final class Load implements AutoCloseable {

  private static final int ADAPTERS = 3_000;
  private static final double ZIPF = 1.2;
  private static final double GENERATIONS = 0.7;

  /** What a caller sent and received. */
  record Call(long nanos, String host, String kind, String requestId, int status, String problem, String body) {}

  final List<Call> calls = new CopyOnWriteArrayList<>();
  private final Fleet fleet;
  private final Predicate<Fleet.Host> usable;
  private final Random random;
  private final double[] cumulated;
  private final double generations;
  private final ExecutorService workers = Executors.newCachedThreadPool(daemon -> {
    Thread thread = new Thread(daemon, "caller");
    thread.setDaemon(true);
    return thread;
  });
  private final Thread pacer;
  private volatile boolean stopped;
  private long number;

  Load(Fleet fleet, double perSecond, long seed, Predicate<Fleet.Host> usable) {
    this(fleet, perSecond, seed, usable, GENERATIONS, ADAPTERS);
  }

  /**
   * Starts to send.
   *
   * @param generations the part of the requests that go to the model servers
   * @param adapters how many adapters are asked for
   */
  Load(
      Fleet fleet,
      double perSecond,
      long seed,
      Predicate<Fleet.Host> usable,
      double generations,
      int adapters) {
    this.fleet = fleet;
    this.generations = generations;
    this.cumulated = new double[adapters];
    this.usable = usable;
    this.random = new Random(seed);
    double sum = 0;
    for (int i = 0; i < adapters; i++) {
      sum += 1 / Math.pow(i + 1, ZIPF);
      cumulated[i] = sum;
    }
    this.pacer = new Thread(() -> pace(perSecond), "pacer");
    pacer.setDaemon(true);
    pacer.start();
  }

  private void pace(double perSecond) {
    long due = System.nanoTime();
    while (!stopped) {
      due += (long) (-Math.log(1 - random.nextDouble()) / perSecond * 1e9);
      long wait = due - System.nanoTime();
      if (wait > 0) {
        try {
          TimeUnit.NANOSECONDS.sleep(wait);
        } catch (InterruptedException e) {
          return;
        }
      }
      List<Fleet.Host> hosts = fleet.hosts.stream().filter(usable).toList();
      if (hosts.isEmpty()) {
        continue;
      }
      Fleet.Host host = hosts.get(random.nextInt(hosts.size()));
      String id = "%08x%08x".formatted(random.nextInt(), ++number);
      double draw = random.nextDouble();
      int adapter = adapter();
      workers.execute(() -> call(host, id, draw, adapter));
    }
  }

  private int adapter() {
    double draw = random.nextDouble() * cumulated[cumulated.length - 1];
    int at = java.util.Arrays.binarySearch(cumulated, draw);
    return 1 + Math.min(cumulated.length - 1, at < 0 ? -at - 1 : at);
  }

  private void call(Fleet.Host host, String id, double draw, int adapter) {
    boolean generation = draw < generations;
    String kind =
        draw < generations * 4 / 7
            ? "notes"
            : generation ? "draft" : draw < (1 + generations) / 2 ? "hold" : "check";
    long nanos = System.nanoTime();
    int deadline = kind.equals("notes") ? 15_000 : generation ? 12_000 : 600;
    byte[] body =
        kind.equals("check") ? new byte[0] : ("body of " + id).getBytes(StandardCharsets.UTF_8);
    String head =
        (kind.equals("check") ? "GET" : "POST")
            + " /"
            + kind
            + "/2f HTTP/1.1\r\nHost: studio.example\r\nRequest-Id: "
            + id
            + "\r\n"
            + Wire.name("deadline")
            + ": "
            + deadline
            + "\r\n"
            + (generation
                ? "Model: "
                    + Runner.MODEL
                    + "/a"
                    + adapter
                    + "\r\n"
                    + Wire.name("tokens")
                    + ": 628,80\r\n"
                    + Wire.name("prefix")
                    + ": 5c1e07a2:198,"
                    + id
                    + ":430\r\n"
                : "")
            + "Content-Length: "
            + body.length
            + "\r\n\r\n";
    Http.Answer answer;
    try (Http.Client client = new Http.Client()) {
      client.connect(host.ip, fleet.callerPort, 1_000);
      answer = client.exchange(head, body, generation ? 6_000 : deadline + 500);
    } catch (java.io.IOException e) {
      answer = new Http.Answer();
      answer.problem = e.toString();
    }
    calls.add(new Call(nanos, host.name, kind, id, answer.status, answer.problem, answer.text()));
  }

  @Override
  public void close() {
    stopped = true;
    pacer.interrupt();
    workers.shutdownNow();
  }
}
