import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A model server as a process of its own, which can be killed. It writes what it does to its
 * output: its port, the runs and their pieces.
 *
 * <p>Arguments: its id, the address to listen on. Each stream has {@link #EVENTS} events; one in
 * {@link #UNFRAMED_EACH} has neither a length nor chunks and ends with its channel.
 */
public final class RunnerProcess {

  static final int EVENTS = 73;
  static final int EVENT_MILLIS = 45;
  static final int UNFRAMED_EACH = 20;
  private static final Map<String, Long> READY_NANOS = new LinkedHashMap<>();
  private static final long BORN = System.currentTimeMillis();
  private static String id = "";
  private static long sequence;
  private static int streams;

  private RunnerProcess() {}

  public static void main(String[] arguments) throws Exception {
    id = arguments[0];
    var server = Http.serve(arguments[1], RunnerProcess::handle);
    say("port " + server.getLocalPort() + " " + BORN);
    // The process ends with the one that started it.
    while (System.in.read() >= 0) {
      continue;
    }
    System.exit(0);
  }

  private static synchronized void say(String line) {
    System.out.println(line);
    System.out.flush();
  }

  private static synchronized String names(boolean ready, String prefix) {
    List<String> names = new ArrayList<>();
    long now = System.nanoTime();
    READY_NANOS.forEach(
        (name, at) -> {
          if (at <= now == ready) {
            names.add("\"" + prefix + name + "@1\"");
          }
        });
    return "[" + String.join(",", names) + "]";
  }

  private static void handle(Http.Connection connection, Http.Request request) throws Exception {
    String expected = request.header(Wire.name("instance"));
    String path = request.path();
    if (!expected.isEmpty() && !expected.equals(id)) {
      connection.respond(421, "Instance-Id: " + id + "\r\nNot-Run: 1\r\n", "");
    } else if (path.equals(Wire.name("report"))) {
      String models = "[{\"name\":\"m0\",\"version\":1,\"adapters\":" + names(true, "") + "}]";
      connection.respond(
          200,
          "Content-Type: application/json\r\n",
          "{\"stage\":\"both\",\"models\":%s,\"coming\":%s,\"busy\":false,\"born\":%d,"
                  .formatted(models, names(false, "m0/"), BORN)
              + "\"sequence\":%d,\"waiting\":0,\"running\":0,\"kvUsed\":0,\"kvTotal\":232000}"
                  .formatted(sequence));
    } else if (path.equals(Wire.name("order"))) {
      connection.respond(order(new String(request.body, StandardCharsets.UTF_8)), "", "");
    } else if (path.equals("/health")) {
      connection.respond(200, "Instance-Id: " + id + "\r\n", "");
    } else {
      run(connection, request);
    }
  }

  private static synchronized int order(String json) {
    String adapter = Runner.field(json, "adapter");
    String expect = Runner.field(json, "expect");
    if (!expect.isEmpty() && Long.parseLong(expect) != sequence) {
      return 409;
    }
    if (Runner.field(json, "operation").equals("unload")) {
      sequence += READY_NANOS.remove(adapter) == null ? 0 : 1;
      return 200;
    }
    if (adapter.isEmpty() || READY_NANOS.containsKey(adapter)) {
      return 200;
    }
    sequence++;
    READY_NANOS.put(adapter, System.nanoTime() + Runner.ADAPTER_LOAD_MILLIS * 1_000_000L);
    return 202;
  }

  private static void run(Http.Connection connection, Http.Request request) throws Exception {
    String requestId = request.header("Request-Id");
    String model = request.header("Model");
    boolean unframed;
    synchronized (RunnerProcess.class) {
      Long ready = READY_NANOS.get(model.substring(model.indexOf('/') + 1));
      if (ready == null || ready > System.nanoTime()) {
        connection.respond(421, "Not-Run: 1\r\nRequest-Id: " + requestId + "\r\n", "");
        return;
      }
      unframed = ++streams % UNFRAMED_EACH == 0;
    }
    say("run " + requestId + (unframed ? " unframed" : " chunked"));
    String head =
        "Request-Id: %s\r\n%s: seal-%s\r\nContent-Type: text/event-stream\r\nWeight-Versions: 1\r\n"
            .formatted(requestId, Wire.name("seal"), requestId);
    String last = request.header("Last-Event-Id");
    if (unframed) {
      connection.out.write(
          ("HTTP/1.1 200 S\r\n" + head + "Connection: close\r\n\r\n")
              .getBytes(StandardCharsets.ISO_8859_1));
    } else {
      connection.startChunks(200, head);
    }
    for (int n = last.isEmpty() ? 1 : Integer.parseInt(last) + 1; n <= EVENTS; n++) {
      Thread.sleep(EVENT_MILLIS);
      String event = "id: " + n + "\ndata: words " + n + "\n\n";
      if (unframed) {
        connection.out.write(event.getBytes(StandardCharsets.UTF_8));
        connection.out.flush();
      } else {
        connection.chunk(event);
      }
    }
    if (unframed) {
      connection.socket.close();
    } else {
      connection.endChunks();
    }
    say("whole " + requestId);
  }
}
