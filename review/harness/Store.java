import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's store: keys, revisions, pages and watches, as PROTOCOL.md describes them. */
final class Store {

  private static final int PAGE = 500;

  private record Item(String key, String value, long revision) {}

  private final TreeMap<String, Item> items = new TreeMap<>();
  private final List<Item> history = new ArrayList<>();
  private long revision = 10;
  private final ServerSocket server;

  Store(String ip) throws Exception {
    server = Http.serve(ip, this::handle);
  }

  String address() {
    return server.getInetAddress().getHostAddress() + ":" + server.getLocalPort();
  }

  synchronized long put(String key, String value) {
    Item item = new Item(key, value, ++revision);
    items.put(key, item);
    history.add(item);
    notifyAll();
    return revision;
  }

  synchronized long delete(String key) {
    items.remove(key);
    history.add(new Item(key, null, ++revision));
    notifyAll();
    return revision;
  }

  private void handle(Http.Connection connection, Http.Request request) throws Exception {
    String json = "Content-Type: application/json\r\n";
    if (request.path().equals(Wire.name("range"))) {
      connection.respond(200, json, range(request.query("prefix"), request.query("after")));
    } else if (request.path().equals(Wire.name("watch"))) {
      long after = Long.parseLong(request.query("after"));
      long wait = Long.parseLong(request.query("waitMs"));
      connection.respond(200, json, watch(request.query("prefix"), after, wait));
    } else {
      connection.respond(404, json, "{}");
    }
  }

  private synchronized String range(String prefix, String after) {
    List<String> list = new ArrayList<>();
    boolean truncated = false;
    for (Map.Entry<String, Item> entry : items.tailMap(prefix, true).entrySet()) {
      if (!entry.getKey().startsWith(prefix)) {
        break;
      }
      if (!after.isEmpty() && entry.getKey().compareTo(after) <= 0) {
        continue;
      }
      if (list.size() == PAGE) {
        truncated = true;
        break;
      }
      list.add(node(entry.getValue()));
    }
    return "{\"items\":["
        + String.join(",", list)
        + "],\"truncated\":"
        + truncated
        + ",\"currentRev\":"
        + revision
        + "}";
  }

  private synchronized String watch(String prefix, long after, long waitMillis)
      throws InterruptedException {
    long end = System.nanoTime() + waitMillis * 1_000_000;
    while (true) {
      List<String> events = new ArrayList<>();
      for (int i = history.size() - 1; i >= 0 && history.get(i).revision > after; i--) {
        if (history.get(i).key.startsWith(prefix)) {
          events.add(0, node(history.get(i)));
        }
      }
      long left = (end - System.nanoTime()) / 1_000_000;
      if (!events.isEmpty() || left <= 0) {
        return "{\"events\":[" + String.join(",", events) + "],\"currentRev\":" + revision + "}";
      }
      wait(Math.max(1, left));
    }
  }

  private static String node(Item item) {
    String head = "{\"key\":\"" + item.key + "\",\"revision\":" + item.revision;
    return item.value == null
        ? head + ",\"deleted\":true}"
        : head
            + ",\"created\":"
            + item.revision
            + ",\"lease\":0,\"value\":\""
            + Base64.getEncoder().encodeToString(item.value.getBytes(StandardCharsets.UTF_8))
            + "\"}";
  }
}
