package org.sequoiahub.node.upstream;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import java.nio.ByteBuffer;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.util.BufferUtil;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sequoiahub.usersplatform.Headers;

class UpstreamClientTest {

  private static final long PATIENCE_SECONDS = 20;

  private HttpClient http;
  private UpstreamClient client;

  @BeforeEach
  void start() throws Exception {
    http = UpstreamClient.start();
    client = new UpstreamClient(http);
  }

  @AfterEach
  void stop() throws Exception {
    http.stop();
  }

  private static final class Recorder implements AttemptListener {
    private final StringBuffer pieces = new StringBuffer();
    private final BlockingQueue<Outcome> outcomes = new LinkedBlockingQueue<>();

    @Override
    public void streamStarted(int status, HttpFields headers) {}

    @Override
    public void streamContent(ByteBuffer piece) {
      pieces.append(new String(BufferUtil.toArray(piece), UTF_8));
    }

    @Override
    public void ended(Outcome outcome) {
      outcomes.add(outcome);
    }

    Outcome outcome() throws InterruptedException {
      Outcome outcome = outcomes.poll(PATIENCE_SECONDS, TimeUnit.SECONDS);
      assertThat(outcome).isNotNull();
      return outcome;
    }
  }

  private Outcome send(ScriptedRunner runner, String id, boolean stream, Recorder recorder)
      throws InterruptedException {
    HttpFields headers = HttpFields.build().add("Request-Id", id).add("Host", "h.example");
    String path = "/a//b/%2F?x=1";
    client.start(runner.entry(), "GET", path, id, headers, new byte[0], stream, recorder);
    return recorder.outcome();
  }

  private Outcome plain(ScriptedRunner runner, String id) throws InterruptedException {
    return send(runner, id, false, new Recorder());
  }

  private static String whole(String id, String body) {
    return "HTTP/1.1 200 OK\r\nRequest-Id: "
        + id
        + "\r\n"
        + Headers.DIGEST
        + ": s\r\nContent-Length: "
        + body.length()
        + "\r\n\r\n"
        + body;
  }

  private static String unframed(String id) {
    return "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\n" + Headers.DIGEST + ": s\r\n\r\nhalf";
  }

  @Nested
  class Requests {
    @Test
    void arriveWithTheirPathAndNothingAdded() throws Exception {
      try (ScriptedRunner runner =
          new ScriptedRunner((n, c, out) -> ScriptedRunner.write(out, whole("1", "ok")))) {
        assertThat(plain(runner, "1")).isInstanceOf(Outcome.Answered.class);
        String head = runner.requests().get(0);
        assertThat(head).startsWith("GET /a//b/%2F?x=1 HTTP/1.1\r\n");
        assertThat(head).contains("Host: h.example\r\n");
        assertThat(head).doesNotContain("Accept-Encoding");
        assertThat(head).doesNotContain("User-Agent");
      }
    }
  }

  @Nested
  class BrokenAnswers {
    /**
     * Symptom: a caller gets half an answer as a good one.
     *
     * <p>Events: a runner answers without a length, crashes, and its connection is reset.
     *
     * <p>Cause: the HTTP library takes a failed read for the end of the answer.
     */
    @Test
    void resetIsNotTheEnd() throws Exception {
      try (ScriptedRunner runner =
          new ScriptedRunner(
              (n, connection, out) -> {
                ScriptedRunner.write(out, unframed("1"));
                Thread.sleep(200);
                ScriptedRunner.reset(connection);
              })) {
        assertThat(plain(runner, "1")).isInstanceOf(Outcome.ResponseLost.class);
      }
    }

    @Test
    void closeIsTheEndOfAnAnswerWithoutLength() throws Exception {
      try (ScriptedRunner runner =
          new ScriptedRunner(
              (n, connection, out) -> {
                ScriptedRunner.write(out, unframed("1"));
                connection.close();
              })) {
        assertThat(plain(runner, "1")).isInstanceOf(Outcome.Answered.class);
      }
    }

    @Test
    void closeBeforeTheLengthIsReachedIsNot() throws Exception {
      try (ScriptedRunner runner =
          new ScriptedRunner(
              (n, connection, out) -> {
                ScriptedRunner.write(out, whole("1", "long body").substring(0, 70));
                connection.close();
              })) {
        assertThat(plain(runner, "1")).isInstanceOf(Outcome.ResponseLost.class);
      }
    }

    @Test
    void withoutDigestItIsNotTheRunners() throws Exception {
      try (ScriptedRunner runner =
          new ScriptedRunner(
              (n, c, out) ->
                  ScriptedRunner.write(
                      out, "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nContent-Length: 2\r\n\r\nok"))) {
        assertThat(plain(runner, "1")).isInstanceOf(Outcome.ResponseLost.class);
      }
    }

    @Test
    void bytesThatAreNoAnswer() throws Exception {
      try (ScriptedRunner runner =
          new ScriptedRunner(
              (n, connection, out) -> {
                ScriptedRunner.write(out, "rot rot rot\r\n\r\n");
                connection.close();
              })) {
        assertThat(plain(runner, "1")).isInstanceOf(Outcome.ResponseLost.class);
      }
    }
  }

  @Nested
  class ExtraAnswers {
    /**
     * Symptom: an agent hears the slots of another caller.
     *
     * <p>Events: a runner sends a second answer after the one that was due; the next request goes
     * out on the same connection and finds it.
     *
     * <p>Cause looked for: an answer taken because it came where one was due.
     */
    @Test
    void neverReachTheNextRequest() throws Exception {
      try (ScriptedRunner runner =
          new ScriptedRunner(
              (n, c, out) -> {
                if (n == 1) {
                  ScriptedRunner.write(out, whole("1", "mine") + whole("1", "again"));
                } else {
                  ScriptedRunner.write(out, whole(Integer.toString(n), "mine"));
                }
              })) {
        assertThat(plain(runner, "1")).isInstanceOf(Outcome.Answered.class);
        Outcome second = plain(runner, "2");
        if (second instanceof Outcome.Answered answered) {
          assertThat(new String(answered.body(), UTF_8)).isEqualTo("mine");
        } else {
          assertThat(second).isNotInstanceOf(Outcome.Refused.class);
        }
      }
    }

    @Test
    void lateOneIsKnownByItsId() throws Exception {
      try (ScriptedRunner runner =
          new ScriptedRunner((n, c, out) -> ScriptedRunner.write(out, whole("other", "theirs")))) {
        assertThat(plain(runner, "1")).isInstanceOf(Outcome.ResponseLost.class);
      }
    }
  }

  @Nested
  class Refusals {
    @Test
    void onlyTheRunnersWordCounts() throws Exception {
      String said = "HTTP/1.1 503 No\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";
      String silent = "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n";
      try (ScriptedRunner runner =
          new ScriptedRunner((n, c, out) -> ScriptedRunner.write(out, n == 1 ? said : silent))) {
        assertThat(plain(runner, "1")).isInstanceOf(Outcome.Refused.class);
        assertThat(plain(runner, "2")).isInstanceOf(Outcome.Answered.class);
      }
    }

    @Test
    void closedPortReceivedNothing() throws Exception {
      ScriptedRunner runner = new ScriptedRunner((n, c, out) -> {});
      runner.close();
      assertThat(plain(runner, "1")).isInstanceOf(Outcome.NotSent.class);
    }
  }

  @Nested
  class Streams {
    @Test
    void piecesComeAsTheyAreMadeAndTheEndIsTold() throws Exception {
      String head =
          "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n"
              + Headers.DIGEST
              + ": s\r\nTransfer-Encoding: chunked\r\n\r\n";
      try (ScriptedRunner runner =
          new ScriptedRunner(
              (n, c, out) -> {
                ScriptedRunner.write(out, head + "9\r\nid: 1\n\n\n\n\r\n");
                ScriptedRunner.write(out, "0\r\n\r\n");
              })) {
        Recorder recorder = new Recorder();
        Outcome outcome = send(runner, "1", true, recorder);
        assertThat(outcome).isInstanceOf(Outcome.StreamCompleted.class);
        assertThat(recorder.pieces.toString()).isEqualTo("id: 1\n\n\n\n");
      }
    }

    @Test
    void brokenOneIsLost() throws Exception {
      String head =
          "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n"
              + Headers.DIGEST
              + ": s\r\nTransfer-Encoding: chunked\r\n\r\n";
      try (ScriptedRunner runner =
          new ScriptedRunner(
              (n, connection, out) -> {
                ScriptedRunner.write(out, head + "7\r\nid: 1\n\n\r\n");
                connection.close();
              })) {
        assertThat(send(runner, "1", true, new Recorder()))
            .isInstanceOf(Outcome.ResponseLost.class);
      }
    }
  }
}
