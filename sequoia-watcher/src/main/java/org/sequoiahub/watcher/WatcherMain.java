package org.sequoiahub.watcher;

import org.sequoiahub.runtime.process.ProcessMain;
import org.sequoiahub.schema.settings.WatcherSettings;

/** The entry point of the {@code sequoia-watcher} process. */
public final class WatcherMain {

  private WatcherMain() {}

  /** Runs the watcher until SIGTERM. */
  public static void main(String[] arguments) {
    ProcessMain.run(
        "sequoia-watcher",
        WatcherSettings.getDefaultInstance(),
        arguments,
        settings -> {
          Watcher watcher = Watcher.start(settings);
          return watcher::close;
        });
  }
}
