package org.sequoiahub.cli.bench;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/**
 * {@code sequoia bench policy}: simulates policies in virtual time and prints one line of figures
 * for each combination of deployment, trace, policy and seed.
 */
public final class PolicyCommand {

  private PolicyCommand() {}

  /**
   * Simulates the combinations that the arguments select.
   *
   * @throws IllegalArgumentException if an argument is not valid; the message names it
   */
  public static void run(List<String> arguments, PrintStream out) throws IOException {
    CommandLine line = parse(arguments);
    Set<String> without =
        line.hasOption("without") ? Set.of(line.getOptionValue("without").split(",")) : Set.of();
    List<PolicyReport.Row> rows = new ArrayList<>();
    for (String deployment : optionValues(line, "deployment", "ashcombe,dhuwaan")) {
      for (String trace : optionValues(line, "trace", "zipf,shift,wake,brownout")) {
        for (String policy : optionValues(line, "policy", "random-lru,rendezvous-lru,sequoia")) {
          for (String seed : optionValues(line, "seed", "1")) {
            PolicyReport.Row row =
                simulate(deployment, trace, Variant.forName(policy, without), seed);
            out.println(row.formatLine());
            rows.add(row);
          }
        }
      }
    }
    if (line.hasOption("report")) {
      PolicyReport.write(Path.of(line.getOptionValue("report")), rows);
      out.println("report written to " + line.getOptionValue("report"));
    }
  }

  private static PolicyReport.Row simulate(
      String deploymentName, String trace, Variant variant, String seedText) {
    Deployment deployment = Deployment.forName(deploymentName);
    Trace.Kind kind;
    try {
      kind = Trace.Kind.valueOf(trace.toUpperCase(Locale.ROOT));
    } catch (IllegalArgumentException e) {
      throw new IllegalArgumentException(
          "--trace must be zipf, shift, wake or brownout, was '" + trace + "'", e);
    }
    long seed = Long.parseLong(seedText);
    PolicyFigures figures =
        new PolicySimulation(deployment, variant, kind, seed)
            .run(Trace.generate(deployment, kind, seed));
    return new PolicyReport.Row(variant.name(), deployment.name(), trace, seed, figures);
  }

  private static List<String> optionValues(CommandLine line, String option, String defaultValue) {
    return List.of(line.getOptionValue(option, defaultValue).split(","));
  }

  private static CommandLine parse(List<String> arguments) {
    Options options = new Options();
    for (String name : List.of("deployment", "trace", "policy", "seed", "without", "report")) {
      options.addOption(Option.builder().longOpt(name).hasArg().build());
    }
    try {
      return new DefaultParser().parse(options, arguments.toArray(new String[0]));
    } catch (ParseException e) {
      throw new IllegalArgumentException(e.getMessage(), e);
    }
  }
}
