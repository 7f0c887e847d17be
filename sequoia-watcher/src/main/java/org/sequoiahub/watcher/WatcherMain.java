package org.sequoiahub.watcher;

import org.sequoiahub.runtime.process.ProcessMain;
import org.sequoiahub.schema.settings.WatcherSettings;

/** The binary {@code sequoia-watcher}. */
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
