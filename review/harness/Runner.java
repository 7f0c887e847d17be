import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/** A runner: a model server that takes orders for adapters, or a plain application. */
final class Runner {

  static final String MODEL = "m0";
  static final int ADAPTER_SLOTS = 8;
  static final int ADAPTER_LOAD_MILLIS = 250;

  /** An order that arrived, with what the runner answered. */
  record Order(long nanos, String holder, long token, String what, int status) {}

  /** A run of a request. */
  record Run(long nanos, String requestId, String method, String target, int deadlineMillis) {}

  final String id;
  final String service;
  final String zone;
  final boolean engine;
  final long born = System.currentTimeMillis();
  final List<Order> orders = new CopyOnWriteArrayList<>();
  final List<Run> runs = new CopyOnWriteArrayList<>();
  final AtomicInteger running = new AtomicInteger();
  volatile int plainMillis = 20;
  volatile int events = 10;
  volatile int eventMillis = 20;
  private final ServerSocket server;
  private final Store store;
  private final Map<String, Long> readyNanos = new LinkedHashMap<>();
  private long sequence;
  private long beats;

  Runner(Store store, String ip, String id, String service, String zone, boolean engine)
      throws Exception {
    this.store = store;
    this.id = id;
    this.service = service;
    this.zone = zone;
    this.engine = engine;
    this.server = Http.serve(ip, this::handle);
    beat();
    Thread beating = new Thread(this::beats, "beat-" + id);
    beating.setDaemon(true);
    beating.start();
  }

  String address() {
    return server.getInetAddress().getHostAddress() + ":" + server.getLocalPort();
  }

  private void beats() {
    try {
      while (true) {
        Thread.sleep(1_200);
        beat();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private synchronized void beat() {
    String entry =
        "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\",\"version\":\"v1\",\"slots\":%d,"
                .formatted(service, address(), zone, engine ? 64 : 6)
            + "\"state\":\"ready\",\""
            + Wire.name("cold")
            + "\":0,\"born\":"
            + born
            + ",\"sequence\":"
            + ++beats
            + (engine ? ",\"stage\":\"both\",\"models\":" + models() : "")
            + "}";
    store.put("servers/" + id, entry);
  }

  private synchronized String models() {
    List<String> names = new ArrayList<>();
    long now = System.nanoTime();
    readyNanos.forEach((name, ready) -> {
      if (ready <= now) {
        names.add("\"" + name + "@1\"");
      }
    });
    return "[{\"name\":\"" + MODEL + "\",\"version\":1,\"adapters\":[" + String.join(",", names) + "]}]";
  }

  private synchronized String report() {
    List<String> coming = new ArrayList<>();
    long now = System.nanoTime();
    readyNanos.forEach((name, ready) -> {
      if (ready > now) {
        coming.add("\"" + MODEL + "/" + name + "@1\"");
      }
    });
    return "{\"stage\":\"both\",\"models\":"
        + models()
        + ",\"coming\":["
        + String.join(",", coming)
        + "],\"busy\":false,\"born\":"
        + born
        + ",\"sequence\":"
        + sequence
        + ",\"waiting\":0,\"running\":"
        + running.get()
        + ",\"kvUsed\":0,\"kvTotal\":232000,\"handles\":0}";
  }

  private void handle(Http.Connection connection, Http.Request request) throws Exception {
    String expected = request.header(Wire.name("instance"));
    if (!expected.isEmpty() && !expected.equals(id)) {
      connection.respond(421, "Instance-Id: " + id + "\r\nNot-Run: 1\r\n", "");
      return;
    }
    String path = request.path();
    if (path.equals(Wire.name("report"))) {
      connection.respond(200, "Content-Type: application/json\r\n", report());
    } else if (path.equals(Wire.name("order"))) {
      order(connection, new String(request.body, StandardCharsets.UTF_8));
    } else if (path.equals("/health")) {
      connection.respond(200, "Instance-Id: " + id + "\r\n", "");
    } else {
      run(connection, request);
    }
  }

  static String field(String json, String name) {
    int at = json.indexOf("\"" + name + "\":");
    if (at < 0) {
      return "";
    }
    int from = at + name.length() + 3;
    int to = from;
    boolean text = json.charAt(from) == '"';
    if (text) {
      to = json.indexOf('"', ++from);
    } else {
      while (",}".indexOf(json.charAt(to)) < 0) {
        to++;
      }
    }
    return json.substring(from, to);
  }

  private void order(Http.Connection connection, String json) throws Exception {
    long nanos = System.nanoTime();
    int status;
    synchronized (this) {
      String adapter = field(json, "adapter");
      String expect = field(json, "expect");
      if (!expect.isEmpty() && Long.parseLong(expect) != sequence) {
        status = 409;
      } else if (field(json, "operation").equals("unload")) {
        status = 200;
        if (readyNanos.remove(adapter) != null) {
          sequence++;
        }
      } else if (adapter.isEmpty() || readyNanos.containsKey(adapter)) {
        status = 200;
      } else {
        status = 202;
        sequence++;
        readyNanos.put(adapter, nanos + ADAPTER_LOAD_MILLIS * 1_000_000L);
      }
      orders.add(
          new Order(
              nanos,
              field(json, "holder"),
              Long.parseLong(field(json, Wire.name("token"))),
              field(json, "operation") + " " + adapter,
              status));
    }
    connection.respond(status, "", "");
  }

  private void run(Http.Connection connection, Http.Request request) throws Exception {
    String model = request.header("Model");
    if (engine) {
      int slash = model.indexOf('/');
      Long ready;
      synchronized (this) {
        ready = slash < 0 ? Long.valueOf(0) : readyNanos.get(model.substring(slash + 1));
      }
      if (ready == null || (slash >= 0 && ready > System.nanoTime())) {
        connection.respond(421, "Not-Run: 1\r\nRequest-Id: " + request.header("Request-Id") + "\r\n", "");
        return;
      }
    }
    int busy = running.incrementAndGet();
    try {
      String deadline = request.header(Wire.name("deadline"));
      runs.add(
          new Run(
              System.nanoTime(),
              request.header("Request-Id"),
              request.method,
              request.target,
              deadline.isEmpty() ? -1 : Integer.parseInt(deadline)));
      String head =
          "Request-Id: "
              + request.header("Request-Id")
              + "\r\n"
              + Wire.name("seal")
              + ": seal-"
              + request.header("Request-Id")
              + "\r\n"
              + Wire.name("load")
              + ": "
              + busy
              + ",0,"
              + (engine ? 64 : 6)
              + "\r\n";
      if (!engine) {
        Thread.sleep(plainMillis);
        connection.respond(200, head, "answer to " + request.header("Request-Id"));
        return;
      }
      connection.startChunks(200, head + "Content-Type: text/event-stream\r\nWeight-Versions: 1\r\n");
      String last = request.header("Last-Event-Id");
      for (int n = last.isEmpty() ? 1 : Integer.parseInt(last) + 1; n <= events; n++) {
        Thread.sleep(eventMillis);
        connection.chunk("id: " + n + "\ndata: words " + n + "\n\n");
      }
      connection.endChunks();
    } finally {
      running.decrementAndGet();
    }
  }
}
