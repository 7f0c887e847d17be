import java.io.BufferedReader;
import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Starts, signals and ends the hosts' processes, with the command of the deploy file. */
final class Fleet implements AutoCloseable {

  /** A host; its process may be restarted. */
  final class Host {
    final String name;
    final String zone;
    final String ip;
    private Process process;
    private boolean startedBefore;

    Host(String name, String zone, String ip) {
      this.name = name;
      this.zone = zone;
      this.ip = ip;
    }

    void writeSettings(boolean firstStart) throws IOException {
      Files.writeString(settingsFile(), settings(this, firstStart));
    }

    Path settingsFile() {
      return directory.resolve(name + ".conf");
    }

    Path log() {
      return directory.resolve(name + ".log");
    }

    void start() throws IOException {
      writeSettings(!startedBefore);
      startedBefore = true;
      ProcessBuilder builder = new ProcessBuilder(command);
      Map<String, String> caller = new LinkedHashMap<>(builder.environment());
      builder.environment().clear();
      for (String name : List.of("PATH", "HOME", "JAVA_HOME", "LANG")) {
        if (caller.containsKey(name)) {
          builder.environment().put(name, caller.get(name));
        }
      }
      builder.environment().put("SEQUOIAHUB_SETTINGS", settingsFile().toString());
      builder.directory(root.toFile());
      builder.redirectErrorStream(true);
      builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log().toFile()));
      process = builder.start();
    }

    boolean isAlive() {
      return process != null && process.isAlive();
    }

    int exitCode() {
      return process.exitValue();
    }

    boolean awaitEnd(long millis) throws InterruptedException {
      return process.waitFor(millis, TimeUnit.MILLISECONDS);
    }

    void signal(String signal) throws IOException, InterruptedException {
      if (isAlive()) {
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
      }
    }

    boolean isReady() {
      try (Http.Client client = new Http.Client()) {
        client.connect(ip, readyPort, 300);
        return client
                .exchange("GET " + Wire.name("ready") + " HTTP/1.1\r\nHost: x\r\n\r\n", new byte[0], 500)
                .status
            == 200;
      } catch (IOException e) {
        return false;
      }
    }
  }

  final Path root;
  final Path directory;
  final Store store;
  final List<Host> hosts = new ArrayList<>();
  final int callerPort;
  final int readyPort;
  final int addressPort;
  final int controlPort;
  final int internalPort;
  private final List<String> command;
  private int seeds = 3;

  Fleet(Path root, Path directory, Store store) throws IOException {
    this.root = root;
    this.directory = directory;
    this.store = store;
    int[] ports = freePorts(6);
    callerPort = ports[0];
    readyPort = ports[1];
    addressPort = ports[2];
    controlPort = ports[3];
    internalPort = ports[4];
    this.command = deployCommand(root.resolve("deploy/system.toml"), ports[5]);
    Runtime.getRuntime().addShutdownHook(new Thread(this::close));
  }

  /** Returns the words of the run line; the metrics port is replaced by one that is free here. */
  private static List<String> deployCommand(Path file, int metricsPort) throws IOException {
    for (String line : Files.readAllLines(file)) {
      if (line.startsWith("run = \"")) {
        String run = line.substring(7, line.lastIndexOf('"'));
        List<String> words = new ArrayList<>(Arrays.asList(run.split(" ")));
        int at = words.indexOf("--metrics-port");
        if (at >= 0) {
          words.set(at + 1, Integer.toString(metricsPort));
        }
        return words;
      }
    }
    throw new IOException("no run line in " + file);
  }

  private static int[] freePorts(int count) throws IOException {
    List<ServerSocket> sockets = new ArrayList<>();
    int[] ports = new int[count];
    for (int i = 0; i < count; i++) {
      ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
      sockets.add(socket);
      ports[i] = socket.getLocalPort();
    }
    for (ServerSocket socket : sockets) {
      socket.close();
    }
    return ports;
  }

  Host add(String name, String zone, String ip) {
    Host host = new Host(name, zone, ip);
    hosts.add(host);
    return host;
  }

  Host find(String name) {
    return hosts.stream().filter(host -> host.name.equals(name)).findFirst().orElse(null);
  }

  /** The settings of the small site of PROTOCOL.md and DEPLOY.md, with loopback addresses. */
  private String settings(Host host, boolean firstStart) throws IOException {
    List<String> zones = hosts.stream().map(h -> h.zone).distinct().toList();
    List<String> lines = new ArrayList<>();
    lines.add("node=" + host.name);
    lines.add("role=node");
    lines.add("machineClass=front");
    lines.add("serves=front,control,directory");
    lines.add("ipAddress=" + host.ip);
    lines.add("zone=" + host.zone);
    lines.add("region=midlands");
    zones.forEach(zone -> lines.add("zones." + zone + "=midlands"));
    lines.add("listenAddresses.front=" + host.ip + ":" + callerPort);
    lines.add("listenAddresses.ready=" + host.ip + ":" + readyPort);
    lines.add("listenAddresses.control=" + host.ip + ":" + controlPort);
    lines.add("listenAddresses.directory=" + host.ip + ":" + addressPort);
    lines.add("internalPorts=" + internalPort + "," + internalPort);
    lines.add(
        "seeds="
            + String.join(
                ",",
                hosts.stream()
                    .limit(seeds)
                    .map(h -> h.ip + ":" + controlPort)
                    .toList()));
    lines.add("firstStart=" + firstStart);
    lines.add("platform.address=" + store.address());
    lines.add(Wire.resource("settings.txt"));
    return String.join("\n", lines) + "\n";
  }

  /** The operator's configuration: two generation routes and two routes of a plain service. */
  static String configuration(long version) throws IOException {
    String host = "\"host\":\"studio.example\"";
    return Wire.resource("config.json").replace("@VERSION@", Long.toString(version));
  }

  /** Waits until all hosts are ready. */
  boolean awaitReady(long millis) throws InterruptedException {
    long end = System.nanoTime() + millis * 1_000_000;
    while (System.nanoTime() < end) {
      if (hosts.stream().allMatch(Host::isReady)) {
        return true;
      }
      Thread.sleep(100);
    }
    return false;
  }

  @Override
  public void close() {
    for (Host host : hosts) {
      if (host.process != null) {
        host.process.destroyForcibly();
      }
    }
    for (Host host : hosts) {
      try {
        if (host.process != null) {
          host.process.waitFor(5, TimeUnit.SECONDS);
        }
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }
}
