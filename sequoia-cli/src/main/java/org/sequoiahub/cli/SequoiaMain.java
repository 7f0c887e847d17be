package org.sequoiahub.cli;

import java.io.PrintStream;
import java.util.List;
import java.util.Map;
import java.util.logging.Level;
import org.sequoiahub.runtime.log.LineFormatter;
import org.sequoiahub.runtime.process.ProcessMain;

/** Entry point of the operators' command line, {@code sequoia}. */
public final class SequoiaMain {

  private static final int EXIT_USAGE = 2;
  private static final int EXIT_FAILURE = 70;
  private static final String HELP =
      """
      usage: sequoia COMMAND ...

        validate FILE              check which records in FILE would be accepted, and why not
        status ADMIN...            print the state of the processes at these admin addresses
        explain ADAPTER ADMIN...   print where an adapter is loaded, as these dispatchers report
        bench policy [FLAGS]       simulate policies in virtual time: --deployment --trace --policy
                                   --seed (comma-separated), --without MECHANISMS, --report DIR
        bench slopes               measure memory and CPU cost of state and messages by size
        --help, --version

      FILE is a JSON object whose fields are record keys, or an array of {"key", "value"}.
      ADMIN is host:port of a process's administration interface.
      Exit codes: 0 success, 1 a record was refused or a process could not be read,
      2 invalid usage, 70 unexpected error.
      """;

  private SequoiaMain() {}

  /** Runs the subcommand that the first argument names, and exits with its exit code. */
  public static void main(String[] arguments) {
    LineFormatter.install(Level.WARNING);
    System.exit(run(List.of(arguments), System.out, System.err));
  }

  static int run(List<String> arguments, PrintStream out, PrintStream err) {
    Map<String, Command> commands =
        Map.of(
            "validate", new ValidateCommand(),
            "status", new StatusCommand(),
            "explain", new ExplainCommand(),
            "bench", new BenchCommand());
    if (arguments.isEmpty() || arguments.get(0).equals("--help")) {
      out.print(HELP);
      return arguments.isEmpty() ? EXIT_USAGE : 0;
    }
    if (arguments.get(0).equals("--version")) {
      out.println("sequoia " + ProcessMain.version());
      return 0;
    }
    Command command = commands.get(arguments.get(0));
    if (command == null) {
      err.println("sequoia: unknown command '" + arguments.get(0) + "' (see --help)");
      return EXIT_USAGE;
    }
    try {
      return command.run(arguments.subList(1, arguments.size()), out);
    } catch (UsageException e) {
      err.println("sequoia " + arguments.get(0) + ": " + e.getMessage());
      return EXIT_USAGE;
    } catch (Exception e) {
      err.println("sequoia " + arguments.get(0) + ": " + e);
      return EXIT_FAILURE;
    }
  }
}
