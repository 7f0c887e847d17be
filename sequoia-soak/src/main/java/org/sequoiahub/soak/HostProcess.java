package org.sequoiahub.soak;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;
import org.sequoiahub.usersplatform.SettingsFile;

/** Runs the program of one host in a separate process, which can be restarted. */
final class HostProcess implements AutoCloseable {

  private static final int GRACE_SECONDS = 4;

  /**
   * The grace period after which a process that has not exited is killed (ms). Only running time
   * counts, because a process that is paused when the period ends cannot exit by itself.
   */
  static final long GRACE_MILLIS = GRACE_SECONDS * 1_000L;

  /**
   * Time after a stop request in which the process ends nothing that is in progress (ms); later it
   * prepares for the end of the grace period.
   */
  private static final long FINISHING_MILLIS = 3_000;

  /** Time for which a process may lag behind after it was started or resumed (ns). */
  static final long CATCH_UP_NANOS = TimeUnit.SECONDS.toNanos(5);

  /**
   * Running time after the grace period in which a process may write the stacks of its threads and
   * still exit by itself, to tell one that is slow from one that hangs (ms).
   */
  private static final long LATE_MILLIS = 2_000;

  private static final long POLL_MILLIS = 20;

  private final String name;
  private final String ip;
  private final Path jar;
  private final Path directory;
  private final Function<Boolean, String> settings;
  private @Nullable Process process;
  private boolean startedBefore;
  private volatile long lastResumedNanos = System.nanoTime();
  private final RunningTime runningTime = new RunningTime();
  private final Interruptions interruptions = new Interruptions();
  private final Interruptions outages = new Interruptions();
  private @Nullable Long outageSinceNanos = System.nanoTime();

  /**
   * Creates a host whose process is not started yet.
   *
   * @param name the host's name, which also names its settings and log files
   * @param ip the host's loopback address
   * @param jar the host program
   * @param directory where the settings and log files are written
   * @param settings returns the text of the settings file; its argument is true for the first start
   */
  HostProcess(
      String name, String ip, Path jar, Path directory, Function<Boolean, String> settings) {
    this.name = name;
    this.ip = ip;
    this.jar = jar;
    this.directory = directory;
    this.settings = settings;
  }

  String name() {
    return name;
  }

  String ip() {
    return ip;
  }

  /** Returns when the process was last started or resumed, in {@link System#nanoTime()}. */
  long lastResumedNanos() {
    return lastResumedNanos;
  }

  /** Returns the times in which responses were broken off by the end of the process. */
  Interruptions interruptions() {
    return interruptions;
  }

  /**
   * Returns the times in which the process did not run or had just begun to catch up with what had
   * changed meanwhile.
   */
  Interruptions outages() {
    return outages;
  }

  private synchronized void beginOutage() {
    if (outageSinceNanos == null) {
      outageSinceNanos = System.nanoTime();
    }
  }

  private synchronized void endOutage() {
    Long since = outageSinceNanos;
    if (since != null) {
      outages.add(since, System.nanoTime() + CATCH_UP_NANOS);
      outageSinceNanos = null;
    }
  }

  /** Starts the process unless it is running. */
  synchronized void start() throws IOException {
    Process current = process;
    if (current != null && current.isAlive()) {
      return;
    }
    Path file = directory.resolve(name + ".conf");
    Files.writeString(file, settings.apply(!startedBefore));
    startedBefore = true;
    ProcessBuilder builder =
        new ProcessBuilder(
            "java",
            "-Xmx96m",
            "-Xss384k",
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-jar",
            jar.toString());
    builder.environment().put(SettingsFile.PATH_VARIABLE, file.toString());
    File log = directory.resolve(name + ".log").toFile();
    builder.redirectErrorStream(true);
    builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log));
    process = builder.start();
    endOutage();
    lastResumedNanos = System.nanoTime();
    runningTime.markResumed(lastResumedNanos);
  }

  /**
   * Sends a signal to the process if it is running.
   *
   * @param signal the signal's name without its prefix, such as STOP
   */
  synchronized void signal(String signal) throws IOException, InterruptedException {
    Process current = process;
    if (current != null && current.isAlive()) {
      new ProcessBuilder("kill", "-" + signal, Long.toString(current.pid())).start().waitFor();
    }
    if (signal.equals("CONT")) {
      endOutage();
      lastResumedNanos = System.nanoTime();
      runningTime.markResumed(lastResumedNanos);
    }
    if (signal.equals("STOP")) {
      beginOutage();
      runningTime.markPaused(System.nanoTime());
    }
  }

  /** Sends a signal as {@link #signal} does; a failure is printed. */
  void trySignal(String signal) {
    try {
      signal(signal);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (IOException e) {
      System.out.println("event=fault-failed why=\"" + e + "\"");
    }
  }

  /** Kills the process and waits for it to exit. */
  void kill() throws IOException, InterruptedException {
    final long fromNanos = System.nanoTime();
    beginOutage();
    signal("KILL");
    // SIGKILL also ends a paused process, so the wait for its exit must count time again.
    runningTime.markResumed(System.nanoTime());
    awaitTermination(GRACE_MILLIS);
    interruptions.add(fromNanos, System.nanoTime());
  }

  /**
   * Asks the process to stop, and kills it if it has not exited after {@link #GRACE_MILLIS} of
   * running time.
   *
   * @return whether the process had to be killed
   */
  boolean stop() throws IOException, InterruptedException {
    signal("CONT");
    final long finishedNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(FINISHING_MILLIS);
    beginOutage();
    signal("TERM");
    long signalledNanos = System.nanoTime();
    boolean exited = awaitTermination(GRACE_MILLIS);
    System.out.printf(
        "event=host-stopped host=%s exited=%b took_ms=%d time=%s%n",
        name,
        exited,
        TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - signalledNanos),
        Instant.now());
    interruptions.add(finishedNanos, Math.max(finishedNanos, System.nanoTime()));
    if (!exited) {
      // The process writes the stacks of its threads to its log.
      signal("QUIT");
      boolean exitedLate = awaitTermination(LATE_MILLIS);
      System.out.printf(
          "event=host-late host=%s exited=%b took_ms=%d%n",
          name, exitedLate, TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - signalledNanos));
      kill();
    }
    return !exited;
  }

  /**
   * Waits until the process has exited or has had the given running time.
   *
   * @return whether the process has exited
   */
  private boolean awaitTermination(long millis) throws InterruptedException {
    Process current;
    synchronized (this) {
      current = process;
    }
    if (current == null) {
      return true;
    }
    long end = runningTime.runningNanos(System.nanoTime()) + TimeUnit.MILLISECONDS.toNanos(millis);
    while (runningTime.runningNanos(System.nanoTime()) < end) {
      if (current.waitFor(POLL_MILLIS, TimeUnit.MILLISECONDS)) {
        return true;
      }
    }
    return !current.isAlive();
  }

  @Override
  public void close() throws IOException, InterruptedException {
    kill();
  }
}
