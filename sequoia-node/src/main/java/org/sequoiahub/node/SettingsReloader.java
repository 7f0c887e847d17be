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
 * Reads the platform's settings file again on a signal and periodically, as the file also changes
 * without a signal. If the file cannot be read or is invalid, the current settings remain in force.
 */
final class SettingsReloader {

  /** Interval at which the file is read (ms): it has a few KB, and its changes are not urgent. */
  private static final long PERIOD_MILLIS = 2_000;

  private final Path file;
  private final Consumer<HostSettings> listener;
  private final EventLog log = new EventLog("node", "settings");
  private @Nullable HostSettings current;

  /**
   * Creates a reloader.
   *
   * @param listener receives changed settings; not called for the settings that are read first
   */
  SettingsReloader(Path file, Consumer<HostSettings> listener) {
    this.file = file;
    this.listener = listener;
  }

  /** Starts to read the file periodically, on a thread of its own. */
  void start() {
    Thread thread = new Thread(this::run, "settings");
    thread.setDaemon(true);
    thread.start();
  }

  /** Reads the file and passes its settings to the listener if they have changed. */
  synchronized void reload() {
    try {
      HostSettings latest = SettingsFile.read(file);
      boolean changed = current != null && !latest.equals(current);
      current = latest;
      if (changed) {
        listener.accept(latest);
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
