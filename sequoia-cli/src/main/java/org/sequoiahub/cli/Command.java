package org.sequoiahub.cli;

import java.io.PrintStream;
import java.util.List;

/** One verb of the command line. */
@FunctionalInterface
interface Command {

  /**
   * Runs the verb.
   *
   * @param arguments what follows the verb
   * @param out where its answer goes
   * @return the exit code
   * @throws UsageException if the arguments are not valid
   */
  int run(List<String> arguments, PrintStream out) throws Exception;
}
