package org.sequoiahub.node;

import sun.misc.Signal;

/** Signals that the virtual machine would otherwise take for a request to end. */
final class Signals {

  private Signals() {}

  /** Runs an action on SIGHUP; without a handler the signal ends the process. */
  @SuppressWarnings("sunapi")
  static void onHangup(Runnable action) {
    Signal.handle(new Signal("HUP"), signal -> action.run());
  }
}
