import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.Properties;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Starts hosts as separate processes with the run command of the deploy file, beside stand-ins of
 * the platform's store and of runners of plain services. All addresses are loopback addresses.
 */
public final class Rig implements Closeable {

  static final String HOST = "ficu95.example";

  final Path directory;
  final PrintWriter record;
  final Store store;
  final List<Node> nodes = new ArrayList<>();
  final List<Runner> runners = new ArrayList<>();
  final long startedNanos = System.nanoTime();
  /** The second octet of all addresses, so that two rigs do not share any. */
  final int net = 64 + (int) (ProcessHandle.current().pid() % 128);

  /** Whether the case runs with its disruption. */
  final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

  Rig(Path recordFile) throws IOException {
    this.directory = Files.createTempDirectory("review-rig");
    this.record = new PrintWriter(Files.newBufferedWriter(recordFile), true);
    this.store = new Store("127." + net + ".0.1");
    // Ends the hosts also when this process is ended by a signal.
    Runtime.getRuntime()
        .addShutdownHook(new Thread(() -> nodes.forEach(node -> node.process.destroyForcibly())));
  }

  /** The body of a case; returns whether the rule held. */
  interface Case {
    boolean run(Rig rig) throws Exception;
  }

  /** Runs a case and exits with 0 if the rule held, 1 if it was broken, 2 if it could not run. */
  static void main(Path recordFile, Case body) {
    int status = 2;
    try (Rig rig = new Rig(recordFile)) {
      rig.note("TROUBLE=%d", rig.trouble ? 1 : 0);
      boolean held = body.run(rig);
      rig.note(held ? "the rule held" : "THE RULE WAS BROKEN");
      status = held ? 0 : 1;
    } catch (Exception e) {
      e.printStackTrace();
    }
    System.exit(status);
  }

  /** Fails the case as one that could not run. */
  static void require(boolean condition, String what) {
    if (!condition) {
      throw new IllegalStateException("could not run: " + what);
    }
  }

  /** Writes a line to the record. */
  synchronized void note(String format, Object... arguments) {
    long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNanos);
    String line = String.format("%8.3f s  ", millis / 1000.0) + String.format(format, arguments);
    record.println(line);
    System.out.println(line);
  }

  /** Returns the settings of a host, as the platform writes them. */
  private String settings(int number, int hosts, boolean firstStart, int firstSeed) {
    String ip = ip(number);
    StringBuilder seeds = new StringBuilder();
    for (int i = 0; i < Math.min(3, hosts); i++) {
      int seed = (firstSeed + i) % hosts + 1;
      seeds.append(i > 0 ? "," : "").append(ip(seed)).append(":8144");
    }
    return String.join(
        "\n",
        "node=front-z-" + number,
        "role=node",
        "machineClass=front",
        "serves=front,control,directory",
        "ipAddress=" + ip,
        "zone=z",
        "region=r",
        "zones.z=r",
        "listenAddresses.front=" + ip + ":8149",
        "listenAddresses.ready=" + ip + ":8141",
        "listenAddresses.control=" + ip + ":8144",
        "listenAddresses.directory=" + ip + ":8143",
        "internalPorts=7380,7395",
        "seeds=" + seeds,
        "firstStart=" + firstStart,
        "lossCounts=false",
        "limits.cpuShare=0.75",
        "limits.cores=1",
        "limits.memoryMb=430",
        "limits.fileDescriptors=4100",
        "limits.linkMbps=1000.0",
        "limits.diskMb=0",
        "discovery=platform",
        "entry=directory",
        "heartbeatMs=1200",
        "contracts=base,drain,config,cost,retry,recover,fleet,stream,engine,platform",
        "faultTolerance.machines=1",
        "faultTolerance.zones=0",
        "faultTolerance.regions=0",
        "bounds.seedLagS=3",
        "bounds.reuseAfterS=2",
        "bounds.stabilityWindowMs=3000",
        "bounds.acknowledgeMs=4000",
        "bounds.catchUpS=4",
        "bounds.drainMs=2000",
        "bounds.graceS=8",
        "bounds.lossSlackMs=200",
        "bounds.configPropagationMs=2000",
        "bounds.rollbackSlackMs=250",
        "bounds.outerBoundMs=5000",
        "bounds.budgetRatio=0.2",
        "bounds.budgetWindowS=10",
        "bounds.budgetSlack=54",
        "bounds.recoveryS=12",
        "bounds.passMs=120",
        "bounds.retryAfterS=0",
        "bounds.fencingEnforced=false",
        "bounds.leaseMs=3000",
        "bounds.thawMs=300",
        "bounds.ceilingWindowS=5",
        "bounds.ceilingOver=1.1",
        "bounds.version_ms=5000",
        "bounds.ttl_max_s=5",
        "platform.address=" + store.address(),
        "platform.form=read",
        "platform.writesPerS=400",
        "platform.readsPerS=2000",
        "platform.historyS=20",
        "platform.valueBytes=1048576",
        "platform.ttlMinMs=1000",
        "");
  }

  String ip(int number) {
    return "127." + net + ".1." + number;
  }

  /** Returns a route of the configuration. */
  static String route(String name, String prefix, String kind, int timeoutMs, String service) {
    String stream = kind.equals("streaming") ? ",\"{resume}\":false,\"gapAimMs\":600" : "";
    return ("{\"name\":\"%s\",\"host\":\"%s\",\"prefix\":\"%s\",\"kind\":\"%s\",\"timeoutMs\":%d,"
            + "\"{latency}\":1000,\"priority\":1,\"service\":\"%s\",\"attempts\":1%s}")
        .formatted(name, HOST, prefix, kind, timeoutMs, service, stream);
  }

  /** Returns a service of the configuration; {@code engine} is empty for a plain one. */
  static String service(String name, String engine) {
    return ("{\"name\":\"%s\",\"healthPath\":\"/health\",\"connectionLimit\":360,"
            + "\"protocol\":\"h1\",\"tls\":false%s}")
        .formatted(name, engine.isEmpty() ? "" : ",\"engine\":" + engine);
  }

  /** Writes a configuration with the limits of the users' sites. */
  void configure(int version, List<String> routes, List<String> services) {
    store.put(
        "{config}",
        ("{\"version\":%d,\"routes\":[%s],\"services\":[%s],\"limits\":{\"headerBytes\":16384,"
                + "\"bodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}")
            .formatted(version, String.join(",", routes), String.join(",", services)));
  }

  /** Starts a runner that registers itself and writes its entry every 1.2 s. */
  Runner addRunner(String service, String model) throws IOException {
    int number = runners.size() + 1;
    Runner runner = new Runner(service, model, "i-9a00" + number, "127." + net + ".2." + number);
    runners.add(runner);
    store.put("servers/" + runner.id, runner.entry());
    daemon(
        () -> {
          try {
            while (true) {
              TimeUnit.MILLISECONDS.sleep(1_200);
              store.put("servers/" + runner.id, runner.entry());
            }
          } catch (InterruptedException e) {
            return;
          }
        });
    return runner;
  }

  /** Starts hosts and waits until all of them are ready. */
  void startNodes(int hosts) throws IOException, InterruptedException {
    for (int i = 0; i < hosts; i++) {
      addNode(hosts);
    }
    for (Node node : nodes) {
      require(node.awaitReady(20_000), "host " + node.number + " is not ready");
    }
    note("%d hosts are ready", hosts);
    TimeUnit.MILLISECONDS.sleep(1_500);
  }

  Node addNode(int hosts) throws IOException {
    Node node = new Node(nodes.size() + 1, hosts);
    nodes.add(node);
    node.start();
    return node;
  }

  /** One host, as a separate process. */
  final class Node {
    final int number;
    final int hosts;
    final String ip;
    final Path log;
    Process process;
    boolean startedBefore;

    Node(int number, int hosts) {
      this.number = number;
      this.hosts = hosts;
      this.ip = ip(number);
      this.log = directory.resolve("node-" + number + ".log");
    }

    /** Writes the settings file again with its seeds in another order. */
    void changeSettings(int firstSeed) throws IOException {
      Files.writeString(settingsFile(), settings(number, hosts, !startedBefore, firstSeed));
    }

    private Path settingsFile() {
      return directory.resolve("node-" + number + ".conf");
    }

    void start() throws IOException {
      Path file = settingsFile();
      changeSettings(0);
      startedBefore = true;
      String run =
          Files.readAllLines(Path.of("deploy/system.toml")).stream()
              .filter(line -> line.startsWith("run = "))
              .map(line -> line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')))
              .findFirst()
              .orElseThrow();
      ProcessBuilder builder = new ProcessBuilder(Arrays.asList(run.split(" ")));
      builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
      builder.environment().put("SEQUOIAHUB_SETTINGS", file.toString());
      builder.redirectErrorStream(true);
      builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
      process = builder.start();
    }

    void signal(String name) throws IOException, InterruptedException {
      new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
    }

    /** Returns the status of the readiness call; 0 if there is no answer. */
    int readiness() {
      try (Client client = new Client(ip, 8141)) {
        String call = "GET {ready} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        return client.call(call, 1_000).status;
      } catch (IOException e) {
        return 0;
      }
    }

    boolean awaitReady(long millis) throws InterruptedException {
      long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
      while (System.nanoTime() < end && process.isAlive()) {
        if (readiness() == 200) {
          return true;
        }
        TimeUnit.MILLISECONDS.sleep(50);
      }
      return false;
    }
  }

  @Override
  public void close() {
    for (Node node : nodes) {
      node.process.destroyForcibly();
    }
    for (Node node : nodes) {
      try {
        node.process.waitFor(5, TimeUnit.SECONDS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
    record.close();
  }

  /** A head of an HTTP message. */
  static final class Head {
    String first = "";
    final Map<String, String> fields = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);

    String get(String name) {
      return fields.getOrDefault(names(name), "");
    }
  }

  /** Reads a head; null at the end of the connection. */
  static Head readHead(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    Head head = null;
    while (true) {
      int next = in.read();
      if (next < 0) {
        return null;
      }
      if (next != '\n') {
        if (next != '\r') {
          line.write(next);
        }
        continue;
      }
      String text = line.toString(StandardCharsets.ISO_8859_1);
      line.reset();
      if (head == null) {
        if (!text.isEmpty()) {
          head = new Head();
          head.first = text;
        }
      } else if (text.isEmpty()) {
        return head;
      } else {
        int colon = text.indexOf(':');
        head.fields.put(text.substring(0, colon).trim(), text.substring(colon + 1).trim());
      }
    }
  }

  /** Reads a body with a length or in chunks; to the end of the connection without either. */
  static byte[] readBody(InputStream in, Head head, boolean request) throws IOException {
    if (head.get("Transfer-Encoding").equalsIgnoreCase("chunked")) {
      ByteArrayOutputStream body = new ByteArrayOutputStream();
      while (true) {
        String size = readLine(in);
        int length = Integer.parseInt(size.split(";")[0].trim(), 16);
        byte[] chunk = in.readNBytes(length);
        if (chunk.length < length) {
          throw new IOException("truncated chunk");
        }
        body.writeBytes(chunk);
        readLine(in);
        if (length == 0) {
          return body.toByteArray();
        }
      }
    }
    String length = head.get("Content-Length");
    if (length.isEmpty()) {
      return request ? new byte[0] : in.readAllBytes();
    }
    byte[] body = in.readNBytes(Integer.parseInt(length));
    if (body.length < Integer.parseInt(length)) {
      throw new IOException("truncated body");
    }
    return body;
  }

  static String readLine(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    int next = in.read();
    while (next >= 0 && next != '\n') {
      if (next != '\r') {
        line.write(next);
      }
      next = in.read();
    }
    if (next < 0) {
      throw new IOException("end of the connection");
    }
    return line.toString(StandardCharsets.ISO_8859_1);
  }

  /** A response. */
  static final class Response {
    final int status;
    final Head head;
    final byte[] body;

    Response(Head head, byte[] body) {
      this.head = head;
      this.status = Integer.parseInt(head.first.split(" ")[1]);
      this.body = body;
    }
  }

  /** A consumer's connection. */
  static final class Client implements Closeable {
    final Socket socket = new Socket();

    Client(String ip, int port) throws IOException {
      socket.setTcpNoDelay(true);
      socket.connect(new InetSocketAddress(ip, port), 1_000);
    }

    void send(String request) throws IOException {
      socket.getOutputStream().write(bytes(request));
    }

    Response receive(int millis) throws IOException {
      socket.setSoTimeout(millis);
      InputStream in = new java.io.BufferedInputStream(socket.getInputStream());
      Head head = readHead(in);
      if (head == null) {
        throw new IOException("the connection was closed without an answer");
      }
      return new Response(head, readBody(in, head, false));
    }

    Response call(String request, int millis) throws IOException {
      send(request);
      return receive(millis);
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }
  }

  /** Returns a POST request without a body. */
  static String request(String path, String id, int deadlineMs, String moreHeaders) {
    return "POST " + path + " HTTP/1.1\r\nHost: " + HOST + "\r\nRequest-Id: " + id
        + "\r\n{deadline}: " + deadlineMs + "\r\nContent-Length: 0\r\n" + moreHeaders + "\r\n";
  }

  /** The platform's store, as PROTOCOL.md tells it. */
  static final class Store {
    record Item(String key, byte[] value, long revision, long created) {}

    final ServerSocket server;
    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Item> history = new ArrayList<>();
    private long revision = 100;

    Store(String ip) throws IOException {
      server = new ServerSocket(0, 200, InetAddress.getByName(ip));
      daemon(this::accept);
    }

    String address() {
      return server.getInetAddress().getHostAddress() + ":" + server.getLocalPort();
    }

    synchronized void put(String namedKey, String text) {
      String key = names(namedKey);
      String value = names(text);
      revision++;
      Item old = items.get(key);
      Item item = new Item(key, value.getBytes(StandardCharsets.UTF_8), revision, old == null ? revision : old.created);
      items.put(key, item);
      history.add(item);
      notifyAll();
    }

    synchronized void delete(String key) {
      revision++;
      items.remove(key);
      history.add(new Item(key, null, revision, 0));
      notifyAll();
    }

    private void accept() {
      try {
        while (true) {
          Socket socket = server.accept();
          daemon(() -> serve(socket));
        }
      } catch (IOException e) {
        return;
      }
    }

    private void serve(Socket socket) {
      try (socket) {
        socket.setTcpNoDelay(true);
        InputStream in = new java.io.BufferedInputStream(socket.getInputStream());
        Head head = readHead(in);
        while (head != null) {
          readBody(in, head, true);
          String target = head.first.split(" ")[1];
          Map<String, String> query = new TreeMap<>();
          int mark = target.indexOf('?');
          if (mark >= 0) {
            for (String pair : target.substring(mark + 1).split("&")) {
              int eq = pair.indexOf('=');
              query.put(pair.substring(0, eq), URLDecoder.decode(pair.substring(eq + 1), StandardCharsets.UTF_8));
            }
          }
          String answer = answer(mark < 0 ? target : target.substring(0, mark), query);
          String status = answer == null ? "404 Not Found" : "200 OK";
          byte[] body = (answer == null ? "" : answer).getBytes(StandardCharsets.UTF_8);
          socket.getOutputStream().write(concat(("HTTP/1.1 " + status + "\r\nContent-Type: application/json\r\nContent-Length: " + body.length + "\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1), body));
          head = readHead(in);
        }
      } catch (IOException | InterruptedException e) {
        return;
      }
    }

    private synchronized String answer(String path, Map<String, String> query) throws InterruptedException {
      String prefix = query.getOrDefault("prefix", "");
      if (path.equals(names("{key}"))) {
        Item item = items.get(query.getOrDefault("key", ""));
        return item == null ? null : json(item, ",\"currentRev\":" + revision);
      }
      List<String> found = new ArrayList<>();
      if (path.equals(names("{range}"))) {
        String after = query.getOrDefault("after", "");
        for (Item item : items.tailMap(prefix).values()) {
          if (item.key.startsWith(prefix) && item.key.compareTo(after) > 0) {
            found.add(json(item, ""));
          }
        }
        return "{\"items\":[" + String.join(",", found) + "],\"truncated\":false,\"currentRev\":" + revision + "}";
      }
      long after = Long.parseLong(query.getOrDefault("after", "0"));
      long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(Long.parseLong(query.getOrDefault("waitMs", "0")));
      while (true) {
        for (Item item : history) {
          if (item.revision > after && item.key.startsWith(prefix)) {
            found.add(json(item, ""));
          }
        }
        long left = TimeUnit.NANOSECONDS.toMillis(end - System.nanoTime());
        if (!found.isEmpty() || left <= 0) {
          return "{\"events\":[" + String.join(",", found) + "],\"currentRev\":" + revision + "}";
        }
        wait(left);
      }
    }

    private static String json(Item item, String more) {
      if (item.value == null) {
        return "{\"key\":\"" + item.key + "\",\"revision\":" + item.revision + ",\"deleted\":true}";
      }
      return "{\"key\":\"" + item.key + "\",\"value\":\"" + Base64.getEncoder().encodeToString(item.value)
          + "\",\"revision\":" + item.revision + ",\"created\":" + item.created + ",\"lease\":0" + more + "}";
    }
  }

  static byte[] concat(byte[] first, byte[] second) {
    byte[] all = Arrays.copyOf(first, first.length + second.length);
    System.arraycopy(second, 0, all, first.length, second.length);
    return all;
  }

  static void daemon(Runnable action) {
    Thread thread = new Thread(action);
    thread.setDaemon(true);
    thread.start();
  }

  /** The names of the users' wire, by the keys under which the texts of the cases use them. */
  private static final Properties NAMES = loadNames();

  private static Properties loadNames() {
    Properties names = new Properties();
    try (InputStream in = Files.newInputStream(Path.of("review/standins-2/wire.properties"))) {
      names.load(in);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return names;
  }

  /** Returns a text with the names of the wire in place of their keys in braces. */
  static String names(String text) {
    if (text.indexOf('{') < 0) {
      return text;
    }
    String named = text;
    for (String key : NAMES.stringPropertyNames()) {
      named = named.replace("{" + key + "}", NAMES.getProperty(key));
    }
    return named;
  }

  static byte[] bytes(String text) {
    return names(text).getBytes(StandardCharsets.ISO_8859_1);
  }

  /** What a runner does with a request that it runs. */
  interface Work {
    void answer(Run run, Channel channel, OutputStream out) throws Exception;
  }

  /** A channel of a runner, for what a case has to remember of it. */
  static final class Channel {
    String owed = "";
  }

  /** A request that a runner began to run. */
  record Run(String runner, String id, String target, int bodyBytes, Head head) {}

  /** A runner; with a model, one of an engine that holds this model and no adapters. */
  static final class Runner {
    final String service;
    final String model;
    final String id;
    final ServerSocket server;
    final List<Run> runs = new CopyOnWriteArrayList<>();
    private final AtomicLong sequence = new AtomicLong();

    /** What it does with requests; the answer of a plain service after 15 ms by default. */
    volatile Work work =
        (run, channel, out) -> {
          TimeUnit.MILLISECONDS.sleep(15);
          out.write(ok(run, "answer to " + run.id()));
        };

    Runner(String service, String model, String id, String ip) throws IOException {
      this.service = service;
      this.model = model;
      this.id = id;
      server = new ServerSocket(0, 400, InetAddress.getByName(ip));
      daemon(this::accept);
    }

    String address() {
      return server.getInetAddress().getHostAddress() + ":" + server.getLocalPort();
    }

    private String models() {
      return model.isEmpty()
          ? ""
          : ",\"models\":[{\"name\":\"" + model + "\",\"version\":1,\"adapters\":[]}]";
    }

    String entry() {
      return ("{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"z\",\"version\":\"v1\",\"slots\":64,"
              + "\"state\":\"ready\",\"{cold}\":0%s,\"sequence\":%d}")
          .formatted(service, address(), models(), sequence.incrementAndGet());
    }

    static byte[] ok(Run run, String body) {
      return bytes(
          "HTTP/1.1 200 OK\r\nRequest-Id: " + run.id() + "\r\n{seal}: 3e1b." + run.id()
              + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
    }

    private void accept() {
      try {
        while (true) {
          Socket socket = server.accept();
          daemon(() -> serve(socket));
        }
      } catch (IOException e) {
        return;
      }
    }

    private void serve(Socket socket) {
      try (socket) {
        socket.setTcpNoDelay(true);
        InputStream in = new java.io.BufferedInputStream(socket.getInputStream());
        OutputStream out = socket.getOutputStream();
        Channel channel = new Channel();
        Head head = readHead(in);
        while (head != null) {
          byte[] body = readBody(in, head, true);
          answer(head, body, channel, out);
          out.flush();
          head = readHead(in);
        }
      } catch (Exception e) {
        return;
      }
    }

    private void answer(Head head, byte[] body, Channel channel, OutputStream out) throws Exception {
      String[] words = head.first.split(" ");
      String expected = head.get("{instance}");
      if (!expected.isEmpty() && !expected.equals(id)) {
        out.write(bytes("HTTP/1.1 421 Misdirected Request\r\nInstance-Id: " + id + "\r\nContent-Length: 0\r\n\r\n"));
      } else if (words[1].equals("/health")) {
        out.write(bytes("HTTP/1.1 200 OK\r\nInstance-Id: " + id + "\r\nContent-Length: 0\r\n\r\n"));
      } else if (words[1].equals(names("{report}"))) {
        String report =
            "{\"stage\":\"both\"" + models() + ",\"busy\":false,\"sequence\":0,\"waiting\":0,"
                + "\"running\":0,\"kvUsed\":0,\"kvTotal\":232000,\"handles\":0}";
        out.write(bytes("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + report.length() + "\r\n\r\n" + report));
      } else if (words[1].equals(names("{order}"))) {
        out.write(bytes("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"));
      } else if (head.get("Request-Id").isEmpty()) {
        out.write(bytes("HTTP/1.1 400 Bad Request\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"));
      } else {
        Run run = new Run(id, head.get("Request-Id"), words[1], body.length, head);
        runs.add(run);
        work.answer(run, channel, out);
      }
    }
  }
}
