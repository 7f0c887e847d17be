package org.sequoiahub.cli;

import java.io.IOException;
import java.io.PrintStream;
import java.util.List;
import org.sequoiahub.cli.bench.PolicyCommand;
import org.sequoiahub.cli.bench.SlopesCommand;

/** Measures the decision code on this machine. */
final class BenchCommand implements Command {

  @Override
  public int run(List<String> arguments, PrintStream out) throws IOException {
    String what = arguments.isEmpty() ? "" : arguments.get(0);
    List<String> rest = arguments.isEmpty() ? List.of() : arguments.subList(1, arguments.size());
    try {
      switch (what) {
        case "policy" -> PolicyCommand.run(rest, out);
        case "slopes" -> SlopesCommand.run(out);
        default -> throw new UsageException("what to bench must be policy or slopes");
      }
    } catch (IllegalArgumentException e) {
      throw new UsageException(String.valueOf(e.getMessage()));
    }
    return 0;
  }
}
