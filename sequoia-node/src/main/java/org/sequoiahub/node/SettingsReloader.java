package org.sequoiahub.node;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.sequoiahub.runtime.log.EventLog;
import org.sequoiahub.usersplatform.HostSettings;
import org.sequoiahub.usersplatform.SettingsFile;

/**
 * Reads the platform's settings file again on a signal and now and then, as it also changes without
 * one. A file that cannot be used leaves the settings in force.
 */
final class SettingsReloader {

  /** How often the file is read (ms): it is a few KB, and its changes are not urgent. */
  private static final long PERIOD_MILLIS = 2_000;

  private final Path file;
  private final Consumer<HostSettings> changed;
  private final EventLog log = new EventLog("node", "settings");
  private @Nullable HostSettings last;

  SettingsReloader(Path file, Consumer<HostSettings> changed) {
    this.file = file;
    this.changed = changed;
  }

  void start() {
    Thread thread = new Thread(this::run, "settings");
    thread.setDaemon(true);
    thread.start();
  }

  synchronized void reload() {
    try {
      HostSettings now = SettingsFile.read(file);
      boolean news = last != null && !now.equals(last);
      last = now;
      if (news) {
        changed.accept(now);
      }
    } catch (IOException | SettingsFile.InvalidSettingsException e) {
      log.warning("settings-not-read", "file", file, "why", e.getMessage());
    }
  }

  private void run() {
    try {
      while (true) {
        reload();
        TimeUnit.MILLISECONDS.sleep(PERIOD_MILLIS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
