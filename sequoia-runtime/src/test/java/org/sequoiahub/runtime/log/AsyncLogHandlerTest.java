package org.sequoiahub.runtime.log;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.util.concurrent.CountDownLatch;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import org.junit.jupiter.api.Test;

class AsyncLogHandlerTest {

  private static LogRecord record(int number) {
    return new LogRecord(Level.INFO, "line " + number);
  }

  @Test
  void writesLinesInOrder() {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    AsyncLogHandler handler = new AsyncLogHandler(out, 64);
    handler.setFormatter(new LineFormatter());
    for (int number = 0; number < 10; number++) {
      handler.publish(record(number));
    }
    handler.close();
    while (out.toString(UTF_8).lines().count() < 10) {
      Thread.onSpinWait();
    }
    assertThat(out.toString(UTF_8).lines().toList().get(9)).contains("line 9");
  }

  /**
   * Guards against requests of a host that stall while its log is being viewed: the reader of the
   * output stops reading, and a thread that logs further lines blocks until it continues.
   */
  @Test
  void dropsLinesInsteadOfBlocking() throws Exception {
    CountDownLatch reading = new CountDownLatch(1);
    ByteArrayOutputStream read = new ByteArrayOutputStream();
    OutputStream stalled =
        new OutputStream() {
          @Override
          public void write(int next) {
            try {
              reading.await();
            } catch (InterruptedException e) {
              Thread.currentThread().interrupt();
            }
            read.write(next);
          }
        };
    AsyncLogHandler handler = new AsyncLogHandler(stalled, 16);
    handler.setFormatter(new LineFormatter());
    for (int number = 0; number < 5_000; number++) {
      handler.publish(record(number));
    }
    assertThat(handler.dropped()).isGreaterThan(0);
    reading.countDown();
    while (!read.toString(UTF_8).contains("event=log-dropped")) {
      Thread.onSpinWait();
    }
  }

  /**
   * Guards against lines that stay in the queue: the writer waits without a timeout while there is
   * nothing to write, and a line that arrives just then does not wake it.
   */
  @Test
  void writesLinesThatArriveWhileWriterWaits() throws InterruptedException {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    AsyncLogHandler handler = new AsyncLogHandler(out, 64);
    handler.setFormatter(new LineFormatter());
    for (int number = 0; number < 40; number++) {
      handler.publish(record(number));
      // Pauses around the writer's own interval, so that lines arrive before and after it parks.
      Thread.sleep(number);
      String expected = "line " + number;
      while (!out.toString(UTF_8).contains(expected)) {
        Thread.onSpinWait();
      }
    }
    handler.close();
  }
}
