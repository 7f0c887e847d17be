package org.sequoiahub.standins;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.protobuf.Message;
import java.security.SecureRandom;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.StringRequestContent;
import org.sequoiahub.dispatcher.Dispatcher;
import org.sequoiahub.entry.Entry;
import org.sequoiahub.runtime.port.FreePorts;
import org.sequoiahub.runtime.settings.SettingsLoader;
import org.sequoiahub.schema.settings.DispatcherSettings;
import org.sequoiahub.schema.settings.EntrySettings;
import org.sequoiahub.schema.settings.WatcherSettings;
import org.sequoiahub.watcher.Watcher;

/** Runs the stand-ins and one host's watcher, dispatcher and entry in this virtual machine. */
final class SingleHostPlatform implements AutoCloseable {

  private static final int TIMEOUT_SECONDS = 60;
  private static final int PORT_COUNT = 6;

  final Standins platform;
  final EngineStandin engine;
  final ServiceStandin bookings;
  final HttpClient http = new HttpClient();
  final Watcher watcher;
  final Dispatcher dispatcher;
  final Entry entry;
  private final List<Integer> ports = FreePorts.find(PORT_COUNT, new SecureRandom());

  SingleHostPlatform() throws Exception {
    platform = new Standins(0, 0, 20);
    engine = platform.startEngine(new EngineOptions("runner-1", 0, 3, 4, 20, 5, 2, 20, true), "m1");
    bookings = platform.startService("bookings-1", "bookings", 0);
    platform.addHost("host-1", ports.get(0), ports.get(1), ports.get(2), 1);
    put(
        "adapters/soot",
        "{\"schema\":1,\"adapter\":\"soot\",\"version\":\"1\",\"base_model\":\"m1\"}");
    put(
        "adapters/booth",
        "{\"schema\":2,\"name\":\"booth\",\"base_model\":\"m1\",\"versions\":["
            + "{\"version\":\"1\",\"weight\":0},{\"version\":\"2\",\"weight\":1}]}");
    put("services/bookings", "{\"schema\":1,\"name\":\"bookings\"}");
    List<String> addresses = platform.addresses();
    watcher =
        Watcher.start(
            settings(
                WatcherSettings.getDefaultInstance(),
                2,
                "--configuration-service",
                addresses.get(0),
                "--host-list",
                addresses.get(1),
                "--hosts-period-ms",
                "50"));
    dispatcher =
        Dispatcher.start(
            settings(
                DispatcherSettings.getDefaultInstance(),
                1,
                "--watcher",
                "127.0.0.1:" + ports.get(2),
                "--weight-store",
                addresses.get(2),
                "--loads-per-second",
                "20",
                "--report-period-ms",
                "50",
                "--stream-silence-ms",
                "300"));
    entry =
        Entry.start(
            settings(
                EntrySettings.getDefaultInstance(),
                0,
                "--watcher",
                "127.0.0.1:" + ports.get(2),
                "--max-body-bytes",
                "4096"));
    http.setRequestBufferSize(1 << 16);
    http.start();
    awaitReady(ports.get(3));
    awaitReady(ports.get(4));
  }

  void put(String key, String json) {
    platform.configuration().put(key, json.getBytes(UTF_8));
  }

  void injectFaults(String address, String json) throws Exception {
    post("http://" + address + "/faults", json, Map.of());
  }

  ContentResponse complete(String json) throws Exception {
    return post(url("/v1/completions"), json, Map.of());
  }

  ContentResponse post(String url, String json, Map<String, String> headers) throws Exception {
    return http.POST(url)
        .body(new StringRequestContent("application/json", json))
        .headers(fields -> headers.forEach(fields::put))
        .timeout(TIMEOUT_SECONDS, TimeUnit.SECONDS)
        .send();
  }

  String url(String path) {
    return "http://127.0.0.1:" + ports.get(0) + path;
  }

  /** Returns the complete text that the engine generates for {@code model}. */
  static String expectedText(String model, int tokens) {
    StringBuilder text = new StringBuilder();
    for (int i = 1; i <= tokens; i++) {
      text.append('[').append(model).append(':').append(i).append('/').append(tokens).append(']');
    }
    return text.toString();
  }

  @Override
  public void close() throws Exception {
    http.stop();
    entry.close();
    dispatcher.close();
    watcher.close();
    platform.close();
  }

  private <T extends Message> T settings(T prototype, int port, String... specificFlags) {
    String[] common = {
      "--host-id",
      "host-1",
      "--failure-domain",
      "d1",
      port == 0 ? "--http-port" : "--port",
      "" + ports.get(port),
      "--admin-port",
      "" + ports.get(port + 3)
    };
    String[] all = new String[common.length + specificFlags.length];
    System.arraycopy(common, 0, all, 0, common.length);
    System.arraycopy(specificFlags, 0, all, common.length, specificFlags.length);
    return new SettingsLoader<>("test", "test", prototype)
        .load(all, Map.of())
        .fold(
            valid -> valid,
            problems -> {
              throw new AssertionError(problems);
            },
            text -> {
              throw new AssertionError(text);
            });
  }

  private void awaitReady(int adminPort) throws Exception {
    for (int i = 0; i < TIMEOUT_SECONDS * 50; i++) {
      if (http.GET("http://127.0.0.1:" + adminPort + "/readyz").getStatus() == 200) {
        return;
      }
      Thread.sleep(20);
    }
    throw new AssertionError("process did not become ready on admin port " + adminPort);
  }
}
