package org.sequoiahub.runtime.process;

import static java.util.Objects.requireNonNull;

import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/**
 * Reads how much processor time the threads of a process have used, as Linux accounts it. The
 * threads of the virtual machine, such as its compiler, are included.
 */
public final class ProcessorTimes {

  /** The directory in which Linux describes the threads of the calling process. */
  public static final Path OWN_THREADS = Path.of("/proc/self/task");

  private final Path threads;

  /**
   * Creates a reader.
   *
   * @param threads the directory with a subdirectory for each thread, as {@link #OWN_THREADS}
   */
  public ProcessorTimes(Path threads) {
    this.threads = requireNonNull(threads, "threads must not be null");
  }

  /**
   * Returns the processor time used so far (ms), by the names of the threads without numbers;
   * threads that have ended are not included. Empty where the operating system does not tell.
   *
   * @throws IOException if the times cannot be read
   */
  public Map<String, Long> readMillis() throws IOException {
    Map<String, Long> nanosByName = new TreeMap<>();
    if (!Files.isDirectory(threads)) {
      return nanosByName;
    }
    try (DirectoryStream<Path> directories = Files.newDirectoryStream(threads)) {
      for (Path directory : directories) {
        addThread(directory, nanosByName);
      }
    }
    nanosByName.replaceAll((name, nanos) -> TimeUnit.NANOSECONDS.toMillis(nanos));
    return nanosByName;
  }

  private static void addThread(Path directory, Map<String, Long> nanosByName) throws IOException {
    try {
      String name = Files.readString(directory.resolve("comm")).strip();
      String scheduling = Files.readString(directory.resolve("schedstat")).strip();
      // Fields: time on a processor (ns), time in a run queue (ns), number of time slices.
      long nanos = Long.parseLong(scheduling.split(" ", 2)[0]);
      nanosByName.merge(nameWithoutNumber(name), nanos, Long::sum);
    } catch (NoSuchFileException | NumberFormatException e) {
      // The thread ended meanwhile, or the kernel keeps no such account.
      return;
    }
  }

  /** Returns the name of a pool of threads: {@code http-client} for {@code http-client-17}. */
  private static String nameWithoutNumber(String name) {
    int end = name.length();
    while (end > 0 && (Character.isDigit(name.charAt(end - 1)) || name.charAt(end - 1) == '-')) {
      end--;
    }
    return end == 0 ? name : name.substring(0, end).replace(' ', '-');
  }
}
