package org.sequoiahub.standins;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.logging.Level;
import org.eclipse.jetty.client.HttpClient;
import org.sequoiahub.runtime.log.LineFormatter;

/** The demo's caller: {@code ENTRY,ADMIN,ADMIN... ADAPTERS LOG...}. */
public final class DemoMain {

  private DemoMain() {}

  /** Makes the demo's calls; exits 0 only if every answer was right. */
  public static void main(String[] arguments) throws Exception {
    LineFormatter.install(Level.WARNING);
    String[] addresses = arguments[0].split(",");
    final int adapters = Integer.parseInt(arguments[1]);
    List<Path> logs = new ArrayList<>();
    for (String log : Arrays.copyOfRange(arguments, 2, arguments.length)) {
      logs.add(Path.of(log));
    }
    HttpClient http = new HttpClient();
    http.start();
    DemoCaller caller = new DemoCaller(http, System.out);
    for (String admin : Arrays.copyOfRange(addresses, 1, addresses.length)) {
      caller.awaitReady(admin);
    }
    int wrong = caller.run(addresses[0], adapters, logs);
    http.stop();
    System.out.println(wrong == 0 ? "every answer was right" : wrong + " answers were wrong");
    System.exit(wrong == 0 ? 0 : 1);
  }
}
