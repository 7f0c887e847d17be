package org.sequoiahub.runtime.process;

import sun.misc.Signal;

/** Signals that the virtual machine would otherwise act on itself. */
public final class Signals {

  private Signals() {}

  /** Runs an action on SIGHUP; without a handler the signal ends the process. */
  public static void onHangup(Runnable action) {
    handle("HUP", action);
  }

  /**
   * Runs an action on SIGTERM and SIGINT.
   *
   * <p>A shutdown hook would run beside the logging library's own, which closes the log first: the
   * lines that tell how a process stopped would be missing.
   */
  static void onStop(Runnable action) {
    handle("TERM", action);
    handle("INT", action);
  }

  @SuppressWarnings("sunapi")
  private static void handle(String name, Runnable action) {
    Signal.handle(new Signal(name), signal -> action.run());
  }
}
