package org.sequoiahub.soak;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Runs the soak test briefly with a fixed seed; no check depends on how long a request took. */
class SoakTest {

  private static final long SEED = 1;
  private static final long FAULT_MILLIS = 8_000;

  @TempDir private Path directory;

  /**
   * Guards against any defect by which a request that may run at most once runs twice, a request
   * reported as not run has run, a response is partial, or two hosts give orders to one runner.
   *
   * <p>Hosts are killed, stopped and paused, connections are reset or stop forwarding, runners are
   * replaced at their addresses, and the store is down or compacts its history.
   */
  @Test
  void guaranteesHoldUnderFaults() throws Exception {
    Path jar = Path.of("..", "sequoia-node", "target", "sequoia-node-0.1.0-all.jar");
    assertWithMessage("the host program exists; build sequoia-node first")
        .that(Files.exists(jar))
        .isTrue();
    try (Soak soak = new Soak(SEED, 3, jar.toAbsolutePath(), directory, SoakOptions.NONE)) {
      assertThat(soak.run(FAULT_MILLIS)).isEmpty();
    }
  }
}
