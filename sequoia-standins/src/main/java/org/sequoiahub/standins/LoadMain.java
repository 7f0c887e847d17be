package org.sequoiahub.standins;

import java.util.List;
import java.util.logging.Level;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.sequoiahub.runtime.log.LineFormatter;

/** Command-line program that runs a {@link LoadGenerator} and verifies every response. */
public final class LoadMain {

  private LoadMain() {}

  /** Runs the load and prints one line of statistics; exits with 1 if a response was wrong. */
  public static void main(String[] arguments) throws Exception {
    LineFormatter.install(Level.WARNING);
    Options options = new Options();
    for (String name :
        List.of("entries", "rate", "seconds", "adapters", "tokens", "bookings", "seed", "label")) {
      options.addOption(Option.builder().longOpt(name).hasArg().build());
    }
    options.addOption(
        Option.builder()
            .longOpt("direct")
            .desc("the entries are engines, called without the serving layer")
            .build());
    CommandLine line = new DefaultParser().parse(options, arguments);
    LoadGenerator load =
        new LoadGenerator(
            List.of(line.getOptionValue("entries").split(",")),
            line.hasOption("direct"),
            Double.parseDouble(line.getOptionValue("rate", "50")),
            Integer.parseInt(line.getOptionValue("seconds", "10")),
            Integer.parseInt(line.getOptionValue("adapters", "6")),
            Integer.parseInt(line.getOptionValue("tokens", "8")),
            Integer.parseInt(line.getOptionValue("bookings", "0")),
            Long.parseLong(line.getOptionValue("seed", "1")));
    LoadStats stats = load.run();
    System.out.println("load=" + line.getOptionValue("label", "-") + " " + stats.summary());
    System.exit(stats.countOf("wrong") + stats.countOf("other_booking") == 0 ? 0 : 1);
  }
}
