package org.sequoiahub.soak;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Runs the soak test with a seed that pauses a host across the end of its grace period. */
class PauseInGraceSoakTest {

  private static final long SEED = 101;
  private static final int HOSTS = 4;
  private static final long FAULT_MILLIS = 15_000;

  @TempDir private Path directory;

  /**
   * Guards against reporting a host that was paused while it stopped as one that failed to stop.
   * The seed asks a host to stop, pauses it 1.7 s later for 2.6 s, and resumes it 0.3 s after the
   * end of its grace period of 4 s. A paused process cannot exit by itself, so only running time
   * may count towards the grace period; a host that does not exit after its pause is still found.
   *
   * <p>When the pause is counted, the host is killed although its log ends 1.7 s after the line of
   * the stop and has no line between the pause and the kill.
   */
  @Test
  void hostPausedDuringGracePeriodStopsByItself() throws Exception {
    Path jar = Path.of("..", "sequoia-node", "target", "sequoia-node-0.1.0-all.jar");
    assertWithMessage("the host program exists; build sequoia-node first")
        .that(Files.exists(jar))
        .isTrue();
    try (Soak soak = new Soak(SEED, HOSTS, jar.toAbsolutePath(), directory, SoakOptions.NONE)) {
      assertThat(soak.run(FAULT_MILLIS)).isEmpty();
    }
  }
}
