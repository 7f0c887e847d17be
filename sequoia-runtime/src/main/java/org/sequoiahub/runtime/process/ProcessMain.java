package org.sequoiahub.runtime.process;

import com.google.protobuf.Message;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.logging.Level;
import org.sequoiahub.runtime.log.LineFormatter;
import org.sequoiahub.runtime.settings.SettingsLoader;

/** Starts a process from its settings and stops it gracefully on SIGTERM or SIGINT. */
public final class ProcessMain {

  /** Exit code: the settings are invalid. */
  public static final int EXIT_INVALID_SETTINGS = 2;

  /** Exit code: a port or address cannot be used. */
  public static final int EXIT_CANNOT_BIND = 3;

  /** Exit code: an internal error. */
  public static final int EXIT_INTERNAL_ERROR = 70;

  private ProcessMain() {}

  /** A started process. */
  @FunctionalInterface
  public interface RunningProcess {
    /** Completes the work in progress, then returns. */
    void stopGracefully() throws Exception;
  }

  /**
   * Starts a process from validated settings.
   *
   * @param <T> the settings message
   */
  @FunctionalInterface
  public interface Starter<T> {
    /** Starts the process. */
    RunningProcess start(T settings) throws Exception;
  }

  /** Returns the version in the jar's manifest, or {@code unpackaged}. */
  public static String version() {
    return Optional.ofNullable(ProcessMain.class.getPackage().getImplementationVersion())
        .orElse("unpackaged");
  }

  /** Runs a process until SIGTERM or SIGINT, then exits the JVM. */
  public static <T extends Message> void run(
      String binary, T prototype, String[] arguments, Starter<T> starter) {
    SettingsLoader<T> loader = new SettingsLoader<>(binary, version(), prototype);
    loader
        .load(arguments, System.getenv())
        .<Runnable>fold(
            settings -> () -> start(settings, starter),
            problems -> () -> exitWithProblems(binary, problems),
            text -> () -> System.out.println(text))
        .run();
  }

  private static void exitWithProblems(String binary, List<String> problems) {
    problems.forEach(problem -> System.err.println(binary + ": " + problem));
    System.exit(EXIT_INVALID_SETTINGS);
  }

  private static <T> void start(T settings, Starter<T> starter) {
    boolean verbose = "fine".equals(System.getenv("SEQUOIA_LOG_LEVEL"));
    LineFormatter.install(verbose ? Level.FINE : Level.INFO);
    try {
      RunningProcess running = starter.start(settings);
      CountDownLatch stop = new CountDownLatch(1);
      Signals.onStop(stop::countDown);
      stop.await();
      stop(running);
      LineFormatter.flush();
      System.exit(0);
    } catch (IOException e) {
      System.err.println("cannot listen: " + e.getMessage());
      System.exit(EXIT_CANNOT_BIND);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (Exception e) {
      e.printStackTrace();
      System.exit(EXIT_INTERNAL_ERROR);
    }
  }

  private static void stop(RunningProcess running) {
    try {
      running.stopGracefully();
    } catch (Exception e) {
      e.printStackTrace();
    }
  }
}
