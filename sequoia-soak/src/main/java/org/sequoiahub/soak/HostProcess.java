package org.sequoiahub.soak;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;
import org.sequoiahub.usersplatform.SettingsFile;

/** The program of one host as a process of its own, through all its starts. */
final class HostProcess implements AutoCloseable {

  private static final int GRACE_SECONDS = 4;

  /**
   * A process that is still there after the grace time is killed. Only time in which it can run is
   * counted: a process that is paused when the time is over cannot end itself.
   */
  static final long GRACE_MILLIS = GRACE_SECONDS * 1_000L;

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

  /**
   * Creates a host whose process does not run yet.
   *
   * @param settings the text of the settings file, given whether this is the first start of all
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

  /** Returns when the process last began to run again, on the steady clock. */
  long lastResumedNanos() {
    return lastResumedNanos;
  }

  /** Starts the process unless it runs. */
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
    builder.environment().put(SettingsFile.VARIABLE, file.toString());
    File log = directory.resolve(name + ".log").toFile();
    builder.redirectErrorStream(true);
    builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log));
    process = builder.start();
    lastResumedNanos = System.nanoTime();
    runningTime.markResumed(lastResumedNanos);
  }

  /** Sends the process a signal by its name, such as STOP. */
  synchronized void signal(String signal) throws IOException, InterruptedException {
    Process current = process;
    if (current != null && current.isAlive()) {
      new ProcessBuilder("kill", "-" + signal, Long.toString(current.pid())).start().waitFor();
    }
    if (signal.equals("CONT")) {
      lastResumedNanos = System.nanoTime();
      runningTime.markResumed(lastResumedNanos);
    }
    if (signal.equals("STOP")) {
      runningTime.markPaused(System.nanoTime());
    }
  }

  /** Kills the process and waits until it has gone. */
  void kill() throws IOException, InterruptedException {
    signal("KILL");
    // A killed process ends also while it is paused, after which no time counts as running.
    runningTime.markResumed(System.nanoTime());
    awaitTermination(GRACE_MILLIS);
  }

  /** Asks the process to stop, and kills it after the grace time; returns whether it had to. */
  boolean stop() throws IOException, InterruptedException {
    signal("CONT");
    signal("TERM");
    boolean gone = awaitTermination(GRACE_MILLIS);
    if (!gone) {
      kill();
    }
    return !gone;
  }

  /** Waits until the process has gone, or has had this much time to run in. */
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
