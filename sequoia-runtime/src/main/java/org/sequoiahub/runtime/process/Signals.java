package org.sequoiahub.runtime.process;

import sun.misc.Signal;

/** Handlers for signals that the JVM would otherwise handle itself. */
public final class Signals {

  private Signals() {}

  /** Runs an action on SIGHUP; without a handler the signal terminates the process. */
  public static void onHangup(Runnable action) {
    handle("HUP", action);
  }

  /**
   * Runs an action on SIGTERM and SIGINT.
   *
   * <p>A shutdown hook would run concurrently with that of the logging library, which closes the
   * log: lines about the shutdown would be lost.
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
