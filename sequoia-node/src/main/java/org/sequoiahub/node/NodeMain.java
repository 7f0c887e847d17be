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

/** The binary {@code sequoia-node}. */
public final class NodeMain {

  private static final String UNSET = "-";
  private static final String SELF_CHECK = "--self-check";

  private NodeMain() {}

  /** Runs the host's program until SIGTERM; with {@code --self-check}, checks that it can start. */
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
          Path file = file(settings);
          Node node = Node.start(settings, read(file), startedMillis);
          SettingsWatch watch = new SettingsWatch(file, node::reload);
          watch.start();
          Signals.onHangup(watch::readNow);
          return node::leave;
        });
  }

  private static Path file(NodeSettings settings) {
    return Path.of(
        settings.getSettingsFile().equals(UNSET)
            ? Optional.ofNullable(System.getenv(SettingsFile.PATH_VARIABLE)).orElse("")
            : settings.getSettingsFile());
  }

  private static HostSettings read(Path file) throws IOException {
    try {
      return SettingsFile.read(file);
    } catch (SettingsFile.InvalidSettingsException e) {
      throw new IOException("settings file " + file + ": " + e.getMessage(), e);
    }
  }
}
