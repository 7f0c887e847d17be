package org.sequoiahub.node.upstream;

import static com.google.common.truth.Truth.assertThat;

import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.http.HttpFields;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sequoiahub.core.routing.RepeatPolicy;
import org.sequoiahub.core.verdict.Verdict;
import org.sequoiahub.usersplatform.Headers;

/** Cancels attempts while their connections are being opened. */
class CancelledAttemptTest {

  private static final int ATTEMPTS = 4_000;

  /** Connects on loopback and the begin of a request take less (ns). */
  private static final int MAX_DELAY_NANOS = 600_000;

  private static final long ARRIVAL_MILLIS = 500;

  private static final long TIMEOUT_SECONDS = 20;

  private HttpClient http;
  private UpstreamClient client;

  @BeforeEach
  void open() throws Exception {
    http = UpstreamClient.start();
    client = new UpstreamClient(http, System::currentTimeMillis);
  }

  @AfterEach
  void close() throws Exception {
    http.stop();
  }

  /** Guards against a request that runs although its caller was told that it never will. */
  @Test
  void neverArrivesIfItWasReportedAsNotSent() throws Exception {
    Random random = new Random(1);
    Set<String> reportedAsNotSent = new HashSet<>();
    try (ScriptedRunner runner =
        new ScriptedRunner((number, connection, out) -> connection.close())) {
      for (int number = 0; number < ATTEMPTS; number++) {
        String id = "q" + number;
        Attempt attempt = start(runner, id);
        spin(random.nextInt(MAX_DELAY_NANOS));
        if (attempt.cancel("deadline exceeded") instanceof Verdict.NotRun) {
          reportedAsNotSent.add(id);
        }
      }
      TimeUnit.MILLISECONDS.sleep(ARRIVAL_MILLIS);
      List<String> ran =
          runner.requestHeads().stream()
              .map(CancelledAttemptTest::requestId)
              .filter(reportedAsNotSent::contains)
              .toList();
      assertThat(reportedAsNotSent).isNotEmpty();
      assertThat(ran).isEmpty();
    }
  }

  /** The sender's thread and the one that cancels meet at a known point. */
  @Nested
  class InterleavedWithBegin {

    private final CompletableFuture<Verdict> verdict = new CompletableFuture<>();

    private Request request(ScriptedRunner runner) {
      return http.newRequest("http://" + runner.entry().address())
          .headers(headers -> headers.put(Headers.REQUEST_ID, "q"));
    }

    private Attempt attempt(Request request) {
      return new Attempt(
          request,
          "q",
          RepeatPolicy.AT_MOST_ONCE,
          System::currentTimeMillis,
          new ResponseMemory(1 << 20),
          new AttemptRecorder());
    }

    private Verdict awaitVerdict() throws Exception {
      Verdict result = verdict.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
      TimeUnit.MILLISECONDS.sleep(ARRIVAL_MILLIS);
      return result;
    }

    /** Guards against a request that is sent although its cancellation came first. */
    @Test
    void isNotSentIfCancelledBefore() throws Exception {
      try (ScriptedRunner runner =
          new ScriptedRunner((number, connection, out) -> connection.close())) {
        CompletableFuture<Attempt> attempt = new CompletableFuture<>();
        Request request = request(runner);
        // Called before the attempt learns that its request begins.
        request.onRequestBegin(begun -> verdict.complete(attempt.join().cancel("cancelled")));
        attempt.complete(attempt(request));
        attempt.join().send();
        assertThat(awaitVerdict()).isInstanceOf(Verdict.NotRun.class);
        assertThat(runner.requestHeads()).isEmpty();
      }
    }

    /** Guards against a request that is reported as not sent although it is on its way. */
    @Test
    void mayHaveRunIfCancelledAfterwards() throws Exception {
      try (ScriptedRunner runner =
          new ScriptedRunner((number, connection, out) -> connection.close())) {
        Request request = request(runner);
        Attempt attempt = attempt(request);
        request.onRequestHeaders(begun -> verdict.complete(attempt.cancel("cancelled")));
        attempt.send();
        assertThat(awaitVerdict()).isInstanceOf(Verdict.MayHaveRun.class);
      }
    }
  }

  private Attempt start(ScriptedRunner runner, String id) {
    HttpFields headers = HttpFields.build().add(Headers.REQUEST_ID, id).add("Host", "h.example");
    return client.start(
        runner.entry(),
        "POST",
        "/x",
        id,
        headers,
        new byte[10],
        RepeatPolicy.AT_MOST_ONCE,
        new AttemptRecorder());
  }

  private static String requestId(String head) {
    String name = Headers.REQUEST_ID + ": ";
    return head.lines()
        .filter(line -> line.startsWith(name))
        .map(line -> line.substring(name.length()))
        .findFirst()
        .orElse("");
  }

  private static void spin(long nanos) {
    long end = System.nanoTime() + nanos;
    while (System.nanoTime() - end < 0) {
      Thread.onSpinWait();
    }
  }
}
