package org.sequoiahub.runtime.process;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class ProcessorTimesTest {

  @TempDir private Path threads;

  private void addThread(String id, String name, String schedstat) throws IOException {
    Path directory = Files.createDirectory(threads.resolve(id));
    Files.writeString(directory.resolve("comm"), name + "\n");
    Files.writeString(directory.resolve("schedstat"), schedstat + "\n");
  }

  @Test
  void addsUpThreadsOfOnePool() throws Exception {
    addThread("1", "decisions", "2500000 0 7");
    addThread("2", "http-client-17", "1000000 5 7");
    addThread("3", "http-client-18", "2000000 5 7");
    assertThat(new ProcessorTimes(threads).readMillis())
        .containsExactly("decisions", 2L, "http-client", 3L);
  }

  @Test
  void passesOverThreadsThatCannotBeRead() throws Exception {
    addThread("1", "decisions", "2500000 0 7");
    addThread("2", "log", "no number");
    Files.createDirectory(threads.resolve("3"));
    assertThat(new ProcessorTimes(threads).readMillis()).containsExactly("decisions", 2L);
  }

  @Test
  void readsNothingWhereTheSystemDoesNotTell() throws Exception {
    assertThat(new ProcessorTimes(threads.resolve("absent")).readMillis()).isEmpty();
  }
}
