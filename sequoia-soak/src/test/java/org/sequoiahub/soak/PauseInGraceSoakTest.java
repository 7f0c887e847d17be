package org.sequoiahub.soak;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The fault soak with a seed that pauses a host across the end of its grace time. */
class PauseInGraceSoakTest {

  private static final long SEED = 101;
  private static final int HOSTS = 4;
  private static final long FAULT_MILLIS = 15_000;

  @TempDir private Path directory;

  /**
   * Symptom: a host that was asked to stop is still there after the grace time, and is killed.
   *
   * <p>Events: the host is asked to stop; 1.7 s later it is paused for 2.6 s, until 0.3 s after the
   * end of its 4 s of grace.
   *
   * <p>Cause: no fault of the host. The soak counted time in which the host could not run, and a
   * paused process cannot end itself. It counts running time only now, so that a host that does not
   * end after its pause is still found.
   *
   * <p>Evidence: the host's log ends 1.7 s after its line of the stop, and none of its lines has a
   * time between the pause and the kill.
   */
  @Test
  void hostPausedDuringGracePeriodStopsByItself() throws Exception {
    Path jar = Path.of("..", "sequoia-node", "target", "sequoia-node-0.1.0-all.jar");
    assertWithMessage("the host's program is built").that(Files.exists(jar)).isTrue();
    try (Soak soak = new Soak(SEED, HOSTS, jar.toAbsolutePath(), directory)) {
      assertThat(soak.run(FAULT_MILLIS)).isEmpty();
    }
  }
}
