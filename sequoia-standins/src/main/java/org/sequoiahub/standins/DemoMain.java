package org.sequoiahub.standins;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.logging.Level;
import org.eclipse.jetty.client.HttpClient;
import org.sequoiahub.runtime.log.LineFormatter;

/**
 * Command-line program that runs the demo's calls.
 *
 * <p>Arguments: {@code ENTRY,ADMIN,ADMIN... ADAPTERS LOG...}, that is the address of an entry and
 * the administration addresses to wait for, the number of adapters, and the log files to read spans
 * from.
 */
public final class DemoMain {

  private DemoMain() {}

  /** Runs the demo's calls; exits with 0 only if every response was correct. */
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
    int failedChecks = caller.run(addresses[0], adapters, logs);
    http.stop();
    System.out.println(
        failedChecks == 0 ? "every response was correct" : failedChecks + " checks failed");
    System.exit(failedChecks == 0 ? 0 : 1);
  }
}
