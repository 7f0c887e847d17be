package org.sequoiahub.soak;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The fault soak with a seed that breaks a promise. */
@Tag("known-red")
class PauseInGraceSoakTest {

  private static final long SEED = 101;
  private static final int HOSTS = 4;
  private static final long FAULT_MILLIS = 15_000;

  @TempDir private Path directory;

  /**
   * Symptom: a host that was asked to stop is still there after the grace time, and is killed.
   *
   * <p>Events: the host is asked to stop, and paused soon after for most of its grace time.
   *
   * <p>Cause: not traced. Either what is left to do after the pause is not given up in time, or the
   * grace time runs on while nothing can.
   *
   * <p>Evidence: the seed shows it each time, also on the code before this test.
   */
  @Test
  void hostPausedInItsGraceTimeEndsInTime() throws Exception {
    Path jar = Path.of("..", "sequoia-node", "target", "sequoia-node-0.1.0-all.jar");
    assertWithMessage("the host's program is built").that(Files.exists(jar)).isTrue();
    try (Soak soak = new Soak(SEED, HOSTS, jar.toAbsolutePath(), directory)) {
      assertThat(soak.play(FAULT_MILLIS)).isEmpty();
    }
  }
}
