package org.sequoiahub.soak;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/** The command {@code bin/soak}: plays seeds one after the other; exits 1 if a promise broke. */
public final class SoakMain {

  private static final int EXIT_BAD_FLAGS = 2;
  private static final int EXIT_VIOLATION = 1;
  private static final int MILLIS_PER_SECOND = 1_000;

  private SoakMain() {}

  /** Runs the command. */
  public static void main(String[] arguments) throws Exception {
    Options options =
        new Options()
            .addOption(null, "seed", true, "first seed; 1 if not given")
            .addOption(null, "seeds", true, "how many seeds; 1 if not given")
            .addOption(null, "seconds", true, "how long faults come in each run; 15 if not given")
            .addOption(null, "hosts", true, "hosts in each run, 3 or more; 4 if not given")
            .addOption(null, "jar", true, "the host's program");
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
    boolean kept = true;
    for (long seed = first; seed < first + seeds; seed++) {
      Path directory = Files.createTempDirectory("soak-" + seed + "-");
      try (Soak soak = new Soak(seed, hosts, jar.toAbsolutePath(), directory)) {
        List<String> broken = soak.run(faultMillis);
        broken.forEach(line -> System.out.println("event=broken " + line));
        if (!broken.isEmpty()) {
          kept = false;
          System.out.println("event=logs-kept directory=" + directory);
        }
      }
    }
    return kept;
  }
}
