package org.sequoiahub.cli;

import java.io.PrintStream;
import java.util.List;

/** A subcommand of {@code sequoia}. */
@FunctionalInterface
interface Command {

  /**
   * Runs the subcommand.
   *
   * @param arguments the arguments that follow the subcommand's name
   * @param out receives the output
   * @return the exit code of the process
   * @throws UsageException if the arguments are not valid
   */
  int run(List<String> arguments, PrintStream out) throws Exception;
}
