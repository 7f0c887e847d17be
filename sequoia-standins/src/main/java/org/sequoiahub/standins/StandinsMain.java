package org.sequoiahub.standins;

import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.concurrent.CountDownLatch;
import java.util.logging.Level;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.sequoiahub.runtime.log.LineFormatter;

/** Command-line program {@code sequoia-standins}: a small platform for the demo and experiments. */
public final class StandinsMain {

  private static final int ENTRY_OFFSET = 200;
  private static final int PORTS_PER_HOST = 10;

  private StandinsMain() {}

  /** Starts the stand-ins and runs until the process is terminated. */
  public static void main(String[] arguments) throws Exception {
    Options options = new Options();
    addOption(
        options,
        "port-base",
        "first port; the ports of the entry hosts start " + ENTRY_OFFSET + " above it");
    addOption(options, "hosts", "number of entry hosts in the host list");
    addOption(options, "runners", "number of engines, all of base model m1");
    addOption(options, "adapters", "number of adapters to configure");
    addOption(options, "slots", "number of adapter slots of each engine");
    addOption(options, "batch", "number of requests that each engine runs at the same time");
    addOption(options, "load-ms", "duration of an adapter load, in milliseconds");
    addOption(options, "prefill-ms", "time to the first token, in milliseconds");
    addOption(options, "token-ms", "time between two tokens, in milliseconds");
    addOption(options, "unfenced", "number of engines that do not check fencing numbers");
    CommandLine line;
    try {
      line = new DefaultParser().parse(options, arguments);
    } catch (ParseException e) {
      System.err.println("sequoia-standins: " + e.getMessage());
      System.exit(2);
      return;
    }
    LineFormatter.install(Level.INFO);
    start(line);
    System.out.println("ready");
    new CountDownLatch(1).await();
  }

  private static void start(CommandLine line) throws Exception {
    int base = intOption(line, "port-base", 18_000);
    Standins standins = new Standins(base, 1_000, 20);
    int runners = intOption(line, "runners", 4);
    int unfenced = intOption(line, "unfenced", 1);
    for (int i = 1; i <= runners; i++) {
      standins.startEngine(
          new EngineOptions(
              "runner-" + i,
              base + 10 + i,
              intOption(line, "slots", 3),
              intOption(line, "batch", 8),
              intOption(line, "load-ms", 200),
              intOption(line, "prefill-ms", 10),
              intOption(line, "token-ms", 5),
              200,
              i > unfenced),
          "m1");
    }
    standins.startService("bookings-1", "bookings", base + 4);
    standins.startService("bookings-2", "bookings", base + 5);
    int hosts = intOption(line, "hosts", 3);
    for (int i = 1; i <= hosts; i++) {
      int first = base + ENTRY_OFFSET + i * PORTS_PER_HOST;
      standins.addHost("host-" + i, first, first + 1, first + 2, i);
    }
    configure(standins, intOption(line, "adapters", 6));
  }

  /** Configures adapters, alternately in schema 1 and schema 2, and a booking service. */
  private static void configure(Standins standins, int adapters) {
    for (int i = 1; i <= adapters; i++) {
      String name = "adapter-" + i;
      String record =
          i % 2 == 1
              ? "{\"schema\":1,\"adapter\":\"%s\",\"version\":\"1\",\"base_model\":\"m1\"}"
              : "{\"schema\":2,\"name\":\"%s\",\"base_model\":\"m1\",\"versions\":["
                  + "{\"version\":\"1\",\"weight\":90},{\"version\":\"2\",\"weight\":10}]}";
      put(standins, "adapters/" + name, String.format(Locale.ROOT, record, name));
    }
    put(standins, "services/bookings", "{\"schema\":1,\"name\":\"bookings\"}");
  }

  private static void put(Standins standins, String key, String value) {
    standins.configuration().put(key, value.getBytes(StandardCharsets.UTF_8));
  }

  private static void addOption(Options options, String name, String help) {
    options.addOption(Option.builder().longOpt(name).hasArg().desc(help).build());
  }

  private static int intOption(CommandLine line, String name, int defaultValue) {
    return line.hasOption(name) ? Integer.parseInt(line.getOptionValue(name)) : defaultValue;
  }
}
