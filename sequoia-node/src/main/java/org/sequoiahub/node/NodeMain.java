package org.sequoiahub.node;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Optional;
import org.sequoiahub.runtime.duty.MonotonicClock;
import org.sequoiahub.runtime.process.ProcessMain;
import org.sequoiahub.runtime.process.Signals;
import org.sequoiahub.schema.settings.NodeSettings;
import org.sequoiahub.usersplatform.HostSettings;
import org.sequoiahub.usersplatform.SettingsFile;

/** Main class of {@code sequoia-node}. */
public final class NodeMain {

  private static final String UNSET = "-";
  private static final String SELF_CHECK = "--self-check";

  private NodeMain() {}

  /** Runs a node until SIGTERM; with {@code --self-check}, runs the self-check and exits. */
  public static void main(String[] arguments) throws Exception {
    long startedMillis = MonotonicClock.SYSTEM.nowMillis();
    if (arguments.length == 1 && arguments[0].equals(SELF_CHECK)) {
      System.exit(SelfCheck.run());
    }
    ProcessMain.run(
        "sequoia-node",
        NodeSettings.getDefaultInstance(),
        arguments,
        settings -> {
          Path file = settingsFile(settings);
          Node node = Node.start(settings, readSettings(file), startedMillis);
          SettingsReloader reloader = new SettingsReloader(file, node::reload);
          reloader.start();
          Signals.onHangup(reloader::reload);
          return node::leave;
        });
  }

  private static Path settingsFile(NodeSettings settings) {
    return Path.of(
        settings.getSettingsFile().equals(UNSET)
            ? Optional.ofNullable(System.getenv(SettingsFile.PATH_VARIABLE)).orElse("")
            : settings.getSettingsFile());
  }

  private static HostSettings readSettings(Path file) throws IOException {
    try {
      return SettingsFile.read(file);
    } catch (SettingsFile.InvalidSettingsException e) {
      throw new IOException("settings file " + file + ": " + e.getMessage(), e);
    }
  }
}
