import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/**
 * Model requests whose prompts have many parts. The largest tenth of them has a head between 9 and
 * 15 KB, within the {@code headerBytes} of the configuration.
 */
public final class Headers {

  private static final int HOSTS = 3;
  private static final int RUNNERS = 3;
  private static final int HEADER_BYTES = 16_384;
  private static final int PART_TOKENS = 16;
  private static final int DEADLINE_MILLIS = 6_000;
  private static final int REQUESTS = 400;
  private static final int CONSUMERS = 8;

  private record Sent(int parts, int headBytes, boolean served) {}

  public static void main(String[] arguments) {
    Rig.main(Path.of(arguments[0]), Headers::run);
  }

  private static boolean run(Rig rig) throws Exception {
    String engine =
        "{\"slots\":64,\"{cache}\":232000,\"kvTokenBytes\":327680,\"linkMbps\":1100000.0,\"stride\":4,"
            + "\"maxCount\":12,\"models\":[{\"name\":\"daka510000\",\"weightsMb\":65500.0,\"loadS\":1.9,"
            + "\"adapters\":3000,\"adapterMb\":40.0}],\"weightsMb\":67100.0,\"{places}\":8,\"loadsPerS\":2.8}";
    rig.configure(
        7,
        List.of(Rig.route("r-1", "/lohu930/", "streaming", DEADLINE_MILLIS, "huvo11a")),
        List.of(Rig.service("huvo11a", engine)));
    for (int i = 0; i < RUNNERS; i++) {
      rig.addRunner("huvo11a", "daka510000").work =
          (run, channel, out) -> {
            out.write(
                Rig.bytes(
                    "HTTP/1.1 200 OK\r\nRequest-Id: " + run.id() + "\r\n{seal}: 3e1b." + run.id()
                        + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"));
            for (int number = 1; number <= 3; number++) {
              String event = "id: " + number + "\ndata: words\n\n";
              out.write(Rig.bytes(Integer.toHexString(event.length()) + "\r\n" + event + "\r\n"));
              TimeUnit.MILLISECONDS.sleep(10);
            }
            out.write(Rig.bytes("0\r\n\r\n"));
          };
    }
    rig.startNodes(HOSTS);
    TimeUnit.SECONDS.sleep(3);
    Map<Integer, Sent> sent = new TreeMap<>();
    ExecutorService consumers = Executors.newFixedThreadPool(CONSUMERS);
    for (int i = 0; i < REQUESTS; i++) {
      int number = i;
      consumers.submit(() -> send(rig, number, sent));
    }
    consumers.shutdown();
    Rig.require(consumers.awaitTermination(80, TimeUnit.SECONDS), "the consumers are not done");
    Rig.require(sent.size() == REQUESTS, "requests were not sent");
    List<Sent> bySize = sent.values().stream().sorted((a, b) -> b.parts - a.parts).toList();
    List<Sent> largestTenth = bySize.subList(0, REQUESTS / 10);
    double all = servedShare(bySize);
    double largest = servedShare(largestTenth);
    rig.note("served: all %.3f, largest tenth %.3f; heads of the largest tenth from %d to %d bytes", all, largest,
        largestTenth.stream().mapToInt(Sent::headBytes).min().orElse(0), largestTenth.stream().mapToInt(Sent::headBytes).max().orElse(0));
    return largest >= all / 2;
  }

  private static double servedShare(List<Sent> sent) {
    return (double) sent.stream().filter(Sent::served).count() / sent.size();
  }

  private static void send(Rig rig, int number, Map<Integer, Sent> sent) {
    // Nine in ten prompts have up to 300 parts; without the disruption, so has the last tenth.
    boolean large = number % 10 == 9;
    int parts = large ? (rig.trouble ? 760 + number : 500) : 100 + number % 10 * 20;
    StringBuilder prefix = new StringBuilder();
    for (int part = 0; part < parts; part++) {
      prefix.append(part > 0 ? "," : "").append("%08x".formatted(0x5c1e07a2 + (part + 1) * 7919)).append(':').append(PART_TOKENS);
    }
    String id = "q" + number;
    String request =
        Rig.request(
            "/lohu930/2f",
            id,
            DEADLINE_MILLIS,
            "Model: daka510000\r\n{tokens}: " + parts * PART_TOKENS + ",52\r\n{prefix}: " + prefix + "\r\n");
    if (Rig.names(request).length() > HEADER_BYTES) {
      throw new IllegalStateException("the head exceeds the limit");
    }
    boolean served = false;
    try (Rig.Client client = new Rig.Client(rig.nodes.get(number % HOSTS).ip, 8149)) {
      Rig.Response response = client.call(request, DEADLINE_MILLIS + 1_000);
      served = response.status == 200;
      if (!served) {
        boolean ran = rig.runners.stream().flatMap(r -> r.runs.stream()).anyMatch(r -> r.id().equals(id));
        rig.note("%s with %d parts, a head of %d bytes: %s \"%s\"; a runner ran it: %s", id, parts, Rig.names(request).length(),
            response.head.first, new String(response.body).trim(), ran);
      }
    } catch (IOException e) {
      rig.note("%s with %d parts, a head of %d bytes: %s", id, parts, Rig.names(request).length(), e);
    }
    synchronized (sent) {
      sent.put(number, new Sent(parts, Rig.names(request).length(), served));
    }
  }
}
