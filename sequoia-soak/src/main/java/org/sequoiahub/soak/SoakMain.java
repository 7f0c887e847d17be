package org.sequoiahub.soak;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/**
 * The command {@code bin/soak}: runs the soak test with one seed after the other. Exits with 1 if a
 * guarantee was violated, and with 2 if a flag is invalid.
 */
public final class SoakMain {

  private static final int EXIT_BAD_FLAGS = 2;
  private static final int EXIT_VIOLATION = 1;
  private static final int MILLIS_PER_SECOND = 1_000;

  private SoakMain() {}

  /** Runs the command. */
  public static void main(String[] arguments) throws Exception {
    Options options =
        new Options()
            .addOption(null, "seed", true, "the first seed (default: 1)")
            .addOption(null, "seeds", true, "the number of seeds to run (default: 1)")
            .addOption(
                null, "seconds", true, "how long faults are injected in each run (default: 15)")
            .addOption(
                null, "hosts", true, "the number of hosts in each run, 3 or more (default: 4)")
            .addOption(
                null,
                "no-suspensions",
                false,
                "without suspended runners and bursts of configurations and signals")
            .addOption(
                null,
                "store-restores",
                false,
                "the store comes back from older copies; changes that it acknowledges afterwards"
                    + " must be in force within the bound")
            .addOption(
                null,
                "short-deadlines",
                false,
                "deadlines of fractions of a second, hosts that are paused for as long, and runners"
                    + " that close their connections")
            .addOption(null, "jar", true, "the path of the host program");
    try {
      CommandLine flags = new DefaultParser().parse(options, arguments);
      System.exit(runSeeds(flags) ? 0 : EXIT_VIOLATION);
    } catch (ParseException | NumberFormatException e) {
      System.err.println("soak: " + e.getMessage());
      System.exit(EXIT_BAD_FLAGS);
    }
  }

  private static boolean runSeeds(CommandLine flags) throws Exception {
    long first = Long.parseLong(flags.getOptionValue("seed", "1"));
    int seeds = Integer.parseInt(flags.getOptionValue("seeds", "1"));
    long faultMillis = Long.parseLong(flags.getOptionValue("seconds", "15")) * MILLIS_PER_SECOND;
    int hosts = Integer.parseInt(flags.getOptionValue("hosts", "4"));
    Path jar =
        Path.of(flags.getOptionValue("jar", "sequoia-node/target/sequoia-node-0.1.0-all.jar"));
    SoakOptions options =
        new SoakOptions(
            !flags.hasOption("no-suspensions"),
            flags.hasOption("store-restores"),
            flags.hasOption("short-deadlines"));
    boolean allHeld = true;
    for (long seed = first; seed < first + seeds; seed++) {
      Path directory = Files.createTempDirectory("soak-" + seed + "-");
      try (Soak soak = new Soak(seed, hosts, jar.toAbsolutePath(), directory, options)) {
        List<String> violations = soak.run(faultMillis);
        violations.forEach(line -> System.out.println("event=broken " + line));
        if (!violations.isEmpty()) {
          allHeld = false;
          System.out.println("event=logs-kept directory=" + directory);
        }
      }
    }
    return allHeld;
  }
}
