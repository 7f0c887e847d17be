package org.sequoiahub.cli;

import java.io.IOException;
import java.io.PrintStream;
import java.util.List;
import org.sequoiahub.cli.bench.PolicyCommand;
import org.sequoiahub.cli.bench.SlopesCommand;

/** Runs one of the benchmarks of the decision code. */
final class BenchCommand implements Command {

  @Override
  public int run(List<String> arguments, PrintStream out) throws IOException {
    String benchmark = arguments.isEmpty() ? "" : arguments.get(0);
    List<String> options = arguments.isEmpty() ? List.of() : arguments.subList(1, arguments.size());
    try {
      switch (benchmark) {
        case "policy" -> PolicyCommand.run(options, out);
        case "slopes" -> SlopesCommand.run(out);
        default -> throw new UsageException("the benchmark must be 'policy' or 'slopes'");
      }
    } catch (IllegalArgumentException e) {
      throw new UsageException(String.valueOf(e.getMessage()));
    }
    return 0;
  }
}
