package org.sequoiahub.soak;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A short run with a fixed seed; nothing is judged by how long it took. */
class SoakTest {

  private static final long SEED = 1;
  private static final long FAULT_MILLIS = 8_000;

  @TempDir private Path directory;

  /**
   * Symptom: a booking runs twice, a refusal is false, an answer is partial, or two hosts order one
   * runner.
   *
   * <p>Events: hosts are killed, stopped and paused, connections are reset and silenced, runners
   * are replaced at their addresses, the store is down or forgets.
   *
   * <p>Cause looked for: any.
   */
  @Test
  void guaranteesHoldUnderFaults() throws Exception {
    Path jar = Path.of("..", "sequoia-node", "target", "sequoia-node-0.1.0-all.jar");
    assertWithMessage("the host's program is built").that(Files.exists(jar)).isTrue();
    try (Soak soak = new Soak(SEED, 3, jar.toAbsolutePath(), directory)) {
      assertThat(soak.run(FAULT_MILLIS)).isEmpty();
    }
  }
}
