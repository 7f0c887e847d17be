package org.sequoiahub.soak;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Runs the soak test with a seed that stops hosts while runners are suspended. */
@Tag("known-red")
class StopSoakTest {

  private static final long SEED = 14;
  private static final int HOSTS = 4;
  private static final long FAULT_MILLIS = 10_000;

  @TempDir private Path directory;

  /** Guards against hosts that do not exit within their grace period after their last response. */
  @Test
  void hostsExitWithinTheirGracePeriod() throws Exception {
    Path jar = Path.of("..", "sequoia-node", "target", "sequoia-node-0.1.0-all.jar");
    assertWithMessage("the host program exists; build sequoia-node first")
        .that(Files.exists(jar))
        .isTrue();
    SoakOptions options = SoakOptions.SUSPENSIONS;
    try (Soak soak = new Soak(SEED, HOSTS, jar.toAbsolutePath(), directory, options)) {
      assertThat(soak.run(FAULT_MILLIS)).isEmpty();
    }
  }
}
