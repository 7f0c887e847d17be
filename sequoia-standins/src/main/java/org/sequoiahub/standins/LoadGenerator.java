package org.sequoiahub.standins;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.nio.ByteBuffer;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.concurrent.Phaser;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.eclipse.jetty.client.CompletableResponseListener;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.StringRequestContent;
import org.jspecify.annotations.Nullable;

/**
 * Generates an open load: calls start at a fixed rate, regardless of how long earlier ones take.
 *
 * <p>A call that was refused as not run, or that found its entry unreachable, is retried at another
 * entry, as callers do. A booking keeps its operation id across all its attempts.
 */
final class LoadGenerator {

  private static final long NANOS_PER_SECOND = 1_000_000_000L;
  private static final int MAX_ATTEMPTS = 8;
  private static final long RETRY_DELAY_MILLIS = 250;
  private static final int TIMEOUT_SECONDS = 60;

  private final List<String> entries;
  private final boolean direct;
  private final double rate;
  private final int seconds;
  private final int adapters;
  private final int tokens;
  private final int bookingInterval;
  private final SplittableRandom random;
  private final LoadStats stats = new LoadStats();
  private final Phaser callsInProgress = new Phaser(1);
  private final HttpClient http = new HttpClient();

  LoadGenerator(
      List<String> entries,
      boolean direct,
      double rate,
      int seconds,
      int adapters,
      int tokens,
      int bookings,
      long seed) {
    this.entries = entries;
    this.direct = direct;
    this.rate = rate;
    this.seconds = seconds;
    this.adapters = adapters;
    this.tokens = tokens;
    this.bookingInterval = bookings;
    this.random = new SplittableRandom(seed);
  }

  /** Runs the load and returns its outcome once every call has ended. */
  LoadStats run() throws Exception {
    http.setMaxConnectionsPerDestination(4_096);
    http.setConnectTimeout(1_000);
    http.start();
    long begin = System.nanoTime();
    long calls = Math.round(rate * seconds);
    for (long i = 0; i < calls; i++) {
      long due = begin + Math.round(i * NANOS_PER_SECOND / rate);
      while (System.nanoTime() < due) {
        LockSupport.parkNanos(Math.max(1, due - System.nanoTime()));
      }
      callsInProgress.register();
      if (bookingInterval > 0 && i % bookingInterval == 0) {
        new Booking("b" + i).send();
      } else {
        new Inference(skewedAdapter(), i).send();
      }
    }
    callsInProgress.arriveAndAwaitAdvance();
    http.stop();
    return stats;
  }

  /** Returns a random adapter number, skewed towards low numbers. */
  private int skewedAdapter() {
    return 1 + (int) (adapters * Math.pow(random.nextDouble(), 3));
  }

  private String entryForAttempt(int attempt) {
    return entries.get(Math.floorMod(attempt, entries.size()));
  }

  private void scheduleRetry(Runnable attempt) {
    http.getScheduler().schedule(attempt, RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
  }

  private static boolean isNotRun(Response response) {
    return "not-run".equals(response.getHeaders().get("Sequoia-Verdict"));
  }

  /** A streamed inference call, across all its attempts. */
  private final class Inference {
    private final String model;
    private final long number;
    private final long startedNanos = System.nanoTime();
    private final StringBuilder text = new StringBuilder();
    private long firstByteNanos;
    private int attempts;

    Inference(int adapter, long number) {
      this.model = "adapter-" + adapter + "@1";
      this.number = number;
    }

    void send() {
      attempts++;
      text.setLength(0);
      String body =
          String.format(
              Locale.ROOT,
              "{\"model\":\"%s\",\"prompt\":\"load\",\"max_tokens\":%d,\"stream\":true}",
              model,
              tokens);
      Request request =
          http.POST("http://" + entryForAttempt((int) number + attempts) + "/v1/completions")
              .body(new StringRequestContent("application/json", body))
              .timeout(TIMEOUT_SECONDS, TimeUnit.SECONDS);
      if (direct) {
        String id = "direct-" + ThreadLocalRandom.current().nextLong();
        request.headers(headers -> headers.put("X-Request-Id", id));
      }
      request.onResponseContent((Response response, ByteBuffer content) -> onContent(content));
      request.send(
          result ->
              onComplete(result.getResponse(), result.isFailed() ? result.getFailure() : null));
    }

    private void onContent(ByteBuffer content) {
      if (firstByteNanos == 0) {
        firstByteNanos = System.nanoTime();
      }
      text.append(UTF_8.decode(content));
    }

    private void onComplete(Response response, @Nullable Throwable failure) {
      int status = response.getStatus();
      if (failure == null && status == 200) {
        verifyText();
      } else if (isNotRun(response) || status == 0) {
        stats.count(status == 0 ? "unreachable" : "not_run");
        if (attempts < MAX_ATTEMPTS) {
          scheduleRetry(this::send);
          return;
        }
        stats.count("gave_up");
      } else {
        stats.count("verdict_" + response.getHeaders().get("Sequoia-Verdict"));
      }
      callsInProgress.arriveAndDeregister();
    }

    private void verifyText() {
      StringBuilder actual = new StringBuilder();
      String marker = "\"text\":\"";
      for (int at = text.indexOf(marker); at >= 0; at = text.indexOf(marker, at + 1)) {
        actual.append(text, at + marker.length(), text.indexOf("\"", at + marker.length()));
      }
      StringBuilder expected = new StringBuilder();
      for (int i = 1; i <= tokens; i++) {
        expected
            .append('[')
            .append(model)
            .append(':')
            .append(i)
            .append('/')
            .append(tokens)
            .append(']');
      }
      long now = System.nanoTime();
      if (!text.toString().endsWith("data: [DONE]\n\n")) {
        stats.count("told_not_whole");
      } else if (expected.toString().contentEquals(actual)) {
        stats.recordComplete(now - startedNanos, firstByteNanos - startedNanos, now);
      } else {
        stats.count("wrong");
      }
    }
  }

  /** A booking call, which must not run twice, across all its attempts. */
  private final class Booking {
    private final String name;
    private String operationId = "";
    private int attempts;

    Booking(String name) {
      this.name = name;
    }

    void send() {
      attempts++;
      Request request =
          http.POST(
                  "http://"
                      + entryForAttempt(name.hashCode() + attempts)
                      + "/services/bookings/slots")
              .body(new StringRequestContent("application/json", "{\"booking\":\"" + name + "\"}"))
              .timeout(TIMEOUT_SECONDS, TimeUnit.SECONDS);
      if (!operationId.isEmpty()) {
        request.headers(headers -> headers.put("Sequoia-Operation", operationId));
      }
      new CompletableResponseListener(request)
          .send()
          .whenComplete(
              (response, failure) -> {
                if (failure != null) {
                  countAndRetry("booking_unreachable");
                } else if (response.getStatus() == 428) {
                  operationId = response.getHeaders().get("Sequoia-Operation");
                  send();
                } else if (response.getStatus() == 201) {
                  boolean own = response.getContentAsString().contains("\"" + name + "\"");
                  stats.count(own ? "booked" : "other_booking");
                  callsInProgress.arriveAndDeregister();
                } else {
                  countAndRetry("booking_" + response.getHeaders().get("Sequoia-Verdict"));
                }
              });
    }

    private void countAndRetry(String outcome) {
      stats.count(outcome);
      if (attempts < MAX_ATTEMPTS) {
        scheduleRetry(this::send);
      } else {
        stats.count("booking_gave_up");
        callsInProgress.arriveAndDeregister();
      }
    }
  }
}
