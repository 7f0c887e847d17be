package org.sequoiahub.node;

import java.util.Optional;
import org.sequoiahub.runtime.process.ProcessMain;
import org.sequoiahub.schema.settings.NodeSettings;
import org.sequoiahub.usersplatform.SettingsFile;

/** The binary {@code sequoia-node}. */
public final class NodeMain {

  private static final String UNSET = "-";

  private NodeMain() {}

  private static final String SELF_CHECK = "--self-check";

  /** Runs the host's program until SIGTERM; with {@code --self-check}, checks that it can start. */
  public static void main(String[] arguments) throws Exception {
    if (arguments.length == 1 && arguments[0].equals(SELF_CHECK)) {
      System.exit(SelfCheck.run(NodeSettings.newBuilder().setAddressTtlMs(1_000).build()));
    }
    ProcessMain.run(
        "sequoia-node",
        NodeSettings.getDefaultInstance(),
        arguments,
        settings -> {
          Node node = Node.start(settings, file(settings));
          return node::stop;
        });
  }

  private static String file(NodeSettings settings) {
    return settings.getSettingsFile().equals(UNSET)
        ? Optional.ofNullable(System.getenv(SettingsFile.VARIABLE)).orElse("")
        : settings.getSettingsFile();
  }
}
