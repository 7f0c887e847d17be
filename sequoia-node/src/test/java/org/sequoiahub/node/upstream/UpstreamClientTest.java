package org.sequoiahub.node.upstream;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.IOException;
import java.io.OutputStream;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.AbstractConnectionPool;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.http.HttpFields;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.sequoiahub.core.ratelimit.StatedLimit;
import org.sequoiahub.core.routing.RepeatPolicy;
import org.sequoiahub.usersplatform.Headers;

class UpstreamClientTest {

  private static final long TIMEOUT_SECONDS = 20;
  private static final long COPY_DELAY_MILLIS = 100;

  private HttpClient http;
  private UpstreamClient client;

  @BeforeEach
  void start() throws Exception {
    http = UpstreamClient.start();
    client = new UpstreamClient(http, System::currentTimeMillis);
  }

  @AfterEach
  void stop() throws Exception {
    http.stop();
  }

  private Outcome send(ScriptedRunner runner, String id, boolean stream, AttemptRecorder recorder)
      throws InterruptedException {
    HttpFields headers = HttpFields.build().add("Request-Id", id).add("Host", "h.example");
    String path = "/a//b/%2F?x=1";
    client.start(runner.entry(), "GET", path, id, headers, new byte[0], policy(stream), recorder);
    return recorder.awaitOutcome();
  }

  private Outcome sendPlain(ScriptedRunner runner, String id) throws InterruptedException {
    return send(runner, id, false, new AttemptRecorder());
  }

  private static String completeResponse(String id, String body) {
    return "HTTP/1.1 200 OK\r\nRequest-Id: "
        + id
        + "\r\n"
        + Headers.DIGEST
        + ": s\r\nContent-Length: "
        + body.length()
        + "\r\n\r\n"
        + body;
  }

  private static String responseWithoutLength(String id) {
    return "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\n" + Headers.DIGEST + ": s\r\n\r\nhalf";
  }

  @Nested
  class Withdrawal {

    private Attempt start(ScriptedRunner runner, String id, AttemptRecorder recorder) {
      HttpFields headers = HttpFields.build().add("Request-Id", id).add("Host", "h.example");
      return client.start(
          runner.entry(), "GET", "/x", id, headers, new byte[0], RepeatPolicy.IDEMPOTENT, recorder);
    }

    /**
     * Guards against a request that waits for a connection and arrives when it must not any more.
     */
    @Test
    void affectsOnlyRequestsThatWaitForConnection() throws Exception {
      http.setMaxConnectionsPerDestination(1);
      CountDownLatch arrived = new CountDownLatch(1);
      CountDownLatch answer = new CountDownLatch(1);
      try (ScriptedRunner runner =
          new ScriptedRunner(
              (number, connection, out) -> {
                arrived.countDown();
                answer.await(TIMEOUT_SECONDS, TimeUnit.SECONDS);
                ScriptedRunner.write(out, completeResponse("1", "ok"));
              })) {
        AttemptRecorder sent = new AttemptRecorder();
        AttemptRecorder waiting = new AttemptRecorder();
        Attempt first = start(runner, "1", sent);
        assertThat(arrived.await(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();
        Attempt second = start(runner, "2", waiting);
        first.withdrawIfUnsent("withdrawn");
        second.withdrawIfUnsent("withdrawn");
        assertThat(waiting.awaitOutcome())
            .isEqualTo(
                new Outcome.NotSent(
                    "java.io.IOException: withdrawn", Outcome.NotSent.Connect.NONE));
        answer.countDown();
        assertThat(sent.awaitOutcome()).isInstanceOf(Outcome.Answered.class);
        assertThat(runner.requestHeads()).hasSize(1);
      }
    }
  }

  /** Requests take longer than connections may be idle. */
  @Nested
  class IdleConnections {

    private static final int IDLE_MILLIS = 200;
    private static final int SILENCE_MILLIS = 4 * IDLE_MILLIS;

    @BeforeEach
    void shortenIdleTimeout() {
      http.setIdleTimeout(IDLE_MILLIS);
    }

    private ScriptedRunner silentRunner(int bytesBefore) throws Exception {
      String response = completeResponse("1", "whole");
      int cut = bytesBefore == 0 ? 0 : response.length() - bytesBefore;
      return new ScriptedRunner(
          (number, connection, out) -> {
            ScriptedRunner.write(out, response.substring(0, cut));
            Thread.sleep(SILENCE_MILLIS);
            ScriptedRunner.write(out, response.substring(cut));
          });
    }

    /** Guards against requests that are given up because their runner is silent. */
    @ParameterizedTest
    @CsvSource({"0,false", "0,true", "2,false", "2,true"})
    void silentRunnerIsWaitedFor(int bytesBefore, boolean stream) throws Exception {
      try (ScriptedRunner runner = silentRunner(bytesBefore)) {
        Outcome outcome = send(runner, "1", stream, new AttemptRecorder());
        assertThat(outcome)
            .isInstanceOf(stream ? Outcome.StreamCompleted.class : Outcome.Answered.class);
      }
    }

    /** Guards against connections that are used again after the runner has closed them. */
    @Test
    void connectionIsClosedOnceItIsNotUsed() throws Exception {
      try (ScriptedRunner runner = silentRunner(0)) {
        assertThat(sendPlain(runner, "1")).isInstanceOf(Outcome.Answered.class);
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
        while (connectionCount() > 0 && System.nanoTime() < end) {
          TimeUnit.MILLISECONDS.sleep(10);
        }
        assertThat(connectionCount()).isEqualTo(0);
      }
    }

    private int connectionCount() {
      return http.getDestinations().stream()
          .mapToInt(
              destination ->
                  ((AbstractConnectionPool) destination.getConnectionPool()).getConnectionCount())
          .sum();
    }
  }

  @Nested
  class Requests {
    @Test
    void keepTheirPathAndGetNoExtraHeaders() throws Exception {
      try (ScriptedRunner runner =
          new ScriptedRunner(
              (number, connection, out) ->
                  ScriptedRunner.write(out, completeResponse("1", "ok")))) {
        assertThat(sendPlain(runner, "1")).isInstanceOf(Outcome.Answered.class);
        String head = runner.requestHeads().get(0);
        assertThat(head).startsWith("GET /a//b/%2F?x=1 HTTP/1.1\r\n");
        assertThat(head).contains("Host: h.example\r\n");
        assertThat(head).doesNotContain("Accept-Encoding");
        assertThat(head).doesNotContain("User-Agent");
      }
    }
  }

  @Nested
  class BrokenResponses {
    /**
     * Guards against an incomplete response that is passed on as a successful one: the runner sends
     * a response without a length, crashes, and its connection is reset. By default Jetty treats
     * the failed read as the end of the response.
     */
    @Test
    void connectionResetIsNotEndOfResponse() throws Exception {
      try (ScriptedRunner runner =
          new ScriptedRunner(
              (number, connection, out) -> {
                ScriptedRunner.write(out, responseWithoutLength("1"));
                Thread.sleep(200);
                ScriptedRunner.reset(connection);
              })) {
        assertThat(sendPlain(runner, "1")).isInstanceOf(Outcome.ResponseLost.class);
      }
    }

    @Test
    void connectionCloseEndsResponseWithoutLength() throws Exception {
      try (ScriptedRunner runner =
          new ScriptedRunner(
              (number, connection, out) -> {
                ScriptedRunner.write(out, responseWithoutLength("1"));
                connection.close();
              })) {
        assertThat(sendPlain(runner, "1")).isInstanceOf(Outcome.Answered.class);
      }
    }

    @Test
    void connectionCloseBeforeFullLengthLosesResponse() throws Exception {
      try (ScriptedRunner runner =
          new ScriptedRunner(
              (number, connection, out) -> {
                ScriptedRunner.write(out, completeResponse("1", "long body").substring(0, 70));
                connection.close();
              })) {
        assertThat(sendPlain(runner, "1")).isInstanceOf(Outcome.ResponseLost.class);
      }
    }

    @Test
    void responseWithoutDigestIsLost() throws Exception {
      try (ScriptedRunner runner =
          new ScriptedRunner(
              (number, connection, out) ->
                  ScriptedRunner.write(
                      out, "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nContent-Length: 2\r\n\r\nok"))) {
        assertThat(sendPlain(runner, "1")).isInstanceOf(Outcome.ResponseLost.class);
      }
    }

    @Test
    void invalidResponseIsLost() throws Exception {
      try (ScriptedRunner runner =
          new ScriptedRunner(
              (number, connection, out) -> {
                ScriptedRunner.write(out, "rot rot rot\r\n\r\n");
                connection.close();
              })) {
        assertThat(sendPlain(runner, "1")).isInstanceOf(Outcome.ResponseLost.class);
      }
    }
  }

  @Nested
  class ExtraResponses {
    /**
     * Guards against a caller receiving the response to another caller's request: a runner sends
     * two responses to one request, and the next request on the same connection receives the
     * second.
     */
    @Test
    void extraResponseNeverReachesNextRequest() throws Exception {
      try (ScriptedRunner runner =
          new ScriptedRunner(
              (number, connection, out) -> {
                if (number == 1) {
                  ScriptedRunner.write(
                      out, completeResponse("1", "mine") + completeResponse("1", "again"));
                } else {
                  ScriptedRunner.write(out, completeResponse(Integer.toString(number), "mine"));
                }
              })) {
        assertThat(sendPlain(runner, "1")).isInstanceOf(Outcome.Answered.class);
        Outcome second = sendPlain(runner, "2");
        if (second instanceof Outcome.Answered answered) {
          assertThat(new String(answered.body(), UTF_8)).isEqualTo("mine");
        } else {
          assertThat(second).isNotInstanceOf(Outcome.Refused.class);
        }
      }
    }

    @Test
    void responseWithOtherRequestIdIsLost() throws Exception {
      try (ScriptedRunner runner =
          new ScriptedRunner(
              (number, connection, out) ->
                  ScriptedRunner.write(out, completeResponse("other", "theirs")))) {
        assertThat(sendPlain(runner, "1")).isInstanceOf(Outcome.ResponseLost.class);
      }
    }
  }

  @Nested
  class Refusals {
    private static String response(int status, String fields) {
      return "HTTP/1.1 " + status + " No\r\n" + fields + "Content-Length: 0\r\n\r\n";
    }

    /** Guards against a status that is taken for the statement that a request has not run. */
    @ParameterizedTest
    @ValueSource(ints = {400, 408, 421, 429, 503})
    void onlyNotRunHeaderCountsAsRefusal(int status) throws Exception {
      try (ScriptedRunner runner =
          new ScriptedRunner(
              (number, connection, out) ->
                  ScriptedRunner.write(
                      out,
                      response(
                          status,
                          "Request-Id: "
                              + number
                              + (number == 1 ? "\r\nNot-Run: 1\r\n" : "\r\n"))))) {
        assertThat(sendPlain(runner, "1")).isInstanceOf(Outcome.Refused.class);
        assertThat(sendPlain(runner, "2")).isInstanceOf(Outcome.Answered.class);
      }
    }

    /** Guards against the refusal of another call that is taken for one of this request. */
    @Test
    void refusalWithoutIdIsNoneOfThisRequest() throws Exception {
      try (ScriptedRunner runner =
          new ScriptedRunner(
              (number, connection, out) ->
                  ScriptedRunner.write(out, response(503, "Not-Run: 1\r\n")))) {
        assertThat(sendPlain(runner, "1")).isInstanceOf(Outcome.Answered.class);
      }
    }

    /** Guards against a late copy of a refusal that is taken for one of the next attempt. */
    @Test
    void refusalSentTwiceRefusesOneAttempt() throws Exception {
      String refusal = response(503, "Request-Id: 1\r\nNot-Run: 1\r\n");
      CountDownLatch arrived = new CountDownLatch(1);
      try (ScriptedRunner runner =
          new ScriptedRunner(
              (number, connection, out) -> {
                if (number > 1) {
                  arrived.countDown();
                  ScriptedRunner.write(out, completeResponse("1", "ran"));
                  return;
                }
                ScriptedRunner.write(out, refusal);
                Thread copy = new Thread(() -> writeOnceArrived(arrived, out, refusal), "copy");
                copy.setDaemon(true);
                copy.start();
              })) {
        assertThat(sendOnce(runner)).isInstanceOf(Outcome.Refused.class);
        assertThat(sendOnce(runner)).isInstanceOf(Outcome.Answered.class);
      }
    }

    /** Writes a response when the next request has arrived, or soon after it was sent. */
    private static void writeOnceArrived(CountDownLatch arrived, OutputStream out, String text) {
      try {
        arrived.await(COPY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
        ScriptedRunner.write(out, text);
      } catch (IOException e) {
        // The client has closed the connection.
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }

    private Outcome sendOnce(ScriptedRunner runner) throws InterruptedException {
      HttpFields headers = HttpFields.build().add("Request-Id", "1").add("Host", "h.example");
      AttemptRecorder recorder = new AttemptRecorder();
      client.start(
          runner.entry(),
          "POST",
          "/x",
          "1",
          headers,
          new byte[0],
          RepeatPolicy.AT_MOST_ONCE,
          recorder);
      return recorder.awaitOutcome();
    }

    @Test
    void closedPortMeansNotSent() throws Exception {
      ScriptedRunner runner = new ScriptedRunner((number, connection, out) -> {});
      runner.close();
      assertThat(sendPlain(runner, "1")).isInstanceOf(Outcome.NotSent.class);
    }
  }

  @Nested
  class Streams {
    @Test
    void contentIsForwardedAndCompletionReported() throws Exception {
      String head =
          "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n"
              + Headers.DIGEST
              + ": s\r\nTransfer-Encoding: chunked\r\n\r\n";
      try (ScriptedRunner runner =
          new ScriptedRunner(
              (number, connection, out) -> {
                ScriptedRunner.write(out, head + "9\r\nid: 1\n\n\n\n\r\n");
                ScriptedRunner.write(out, "0\r\n\r\n");
              })) {
        AttemptRecorder recorder = new AttemptRecorder();
        Outcome outcome = send(runner, "1", true, recorder);
        assertThat(outcome).isInstanceOf(Outcome.StreamCompleted.class);
        assertThat(recorder.content()).isEqualTo("id: 1\n\n\n\n");
      }
    }

    @Test
    void brokenStreamIsLost() throws Exception {
      String head =
          "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n"
              + Headers.DIGEST
              + ": s\r\nTransfer-Encoding: chunked\r\n\r\n";
      try (ScriptedRunner runner =
          new ScriptedRunner(
              (number, connection, out) -> {
                ScriptedRunner.write(out, head + "7\r\nid: 1\n\n\r\n");
                connection.close();
              })) {
        assertThat(send(runner, "1", true, new AttemptRecorder()))
            .isInstanceOf(Outcome.ResponseLost.class);
      }
    }
  }

  @Nested
  class StatedLimits {
    private AttemptRecorder receive(String head, boolean stream) throws Exception {
      AttemptRecorder recorder = new AttemptRecorder();
      try (ScriptedRunner runner =
          new ScriptedRunner((number, connection, out) -> ScriptedRunner.write(out, head))) {
        send(runner, "1", stream, recorder);
      }
      return recorder;
    }

    private String refusal(String limit) {
      return "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: 1\r\nNot-Run: 1\r\n"
          + Headers.RATE_LIMIT
          + ": "
          + limit
          + "\r\nContent-Length: 0\r\n\r\n";
    }

    @Test
    void areReadFromRefusals() throws Exception {
      assertThat(receive(refusal("0.5"), true).limits()).containsExactly(new StatedLimit.Rate(0.5));
    }

    @Test
    void areReadBeforeTheStreamEnds() throws Exception {
      CountDownLatch end = new CountDownLatch(1);
      AttemptRecorder recorder = new AttemptRecorder();
      try (ScriptedRunner runner =
          new ScriptedRunner(
              (number, connection, out) -> {
                ScriptedRunner.write(
                    out,
                    responseWithoutLength("1")
                        .replace("\r\n\r\n", "\r\n" + Headers.RATE_LIMIT + ": 2\r\n\r\n"));
                end.await(TIMEOUT_SECONDS, TimeUnit.SECONDS);
                connection.close();
              })) {
        HttpFields headers = HttpFields.build().add("Request-Id", "1").add("Host", "h.example");
        client.start(
            runner.entry(),
            "GET",
            "/x",
            "1",
            headers,
            new byte[0],
            RepeatPolicy.RESUMABLE_STREAM,
            recorder);
        assertThat(recorder.limits().poll(TIMEOUT_SECONDS, TimeUnit.SECONDS))
            .isEqualTo(new StatedLimit.Rate(2));
        end.countDown();
      }
    }

    /** Guards against a response that is lost because its limit is unreadable. */
    @Test
    void ofEightKilobytesLoseNoResponse() throws Exception {
      AttemptRecorder recorder = new AttemptRecorder();
      try (ScriptedRunner runner =
          new ScriptedRunner(
              (number, connection, out) -> ScriptedRunner.write(out, refusal("9".repeat(8_192))))) {
        assertThat(send(runner, "1", true, recorder)).isEqualTo(new Outcome.Refused(503));
      }
      assertThat(recorder.limits().poll()).isInstanceOf(StatedLimit.Unreadable.class);
    }
  }

  private static RepeatPolicy policy(boolean stream) {
    return stream ? RepeatPolicy.RESUMABLE_STREAM : RepeatPolicy.IDEMPOTENT;
  }
}
