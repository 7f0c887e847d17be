package org.sequoiahub.dispatcher;

import org.sequoiahub.runtime.process.ProcessMain;
import org.sequoiahub.schema.settings.DispatcherSettings;

/** Entry point of the {@code sequoia-dispatcher} process. */
public final class DispatcherMain {

  private DispatcherMain() {}

  /** Runs the dispatcher until SIGTERM. */
  public static void main(String[] arguments) {
    ProcessMain.run(
        "sequoia-dispatcher",
        DispatcherSettings.getDefaultInstance(),
        arguments,
        settings -> {
          Dispatcher dispatcher = Dispatcher.start(settings);
          return dispatcher::close;
        });
  }
}
