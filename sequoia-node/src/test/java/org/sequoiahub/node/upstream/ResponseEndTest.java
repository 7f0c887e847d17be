package org.sequoiahub.node.upstream;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.net.Socket;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.http.HttpFields;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.sequoiahub.core.routing.RepeatPolicy;
import org.sequoiahub.usersplatform.Headers;

/** Guards against responses that end early and are taken for complete ones. */
class ResponseEndTest {

  private static final String EVENT = "id: 1\ndata: a\n\n";

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

  /** How a runner ends the connection of a response. */
  private enum End {
    CLOSE,
    RESET,
    RESET_LATER,
    HALF_CLOSE_THEN_RESET;

    void apply(Socket connection) throws IOException, InterruptedException {
      switch (this) {
        case CLOSE -> connection.close();
        case RESET -> ScriptedRunner.reset(connection);
        case RESET_LATER -> {
          Thread.sleep(100);
          ScriptedRunner.reset(connection);
        }
        case HALF_CLOSE_THEN_RESET -> {
          connection.shutdownOutput();
          Thread.sleep(50);
          ScriptedRunner.reset(connection);
        }
        default -> throw new AssertionError(this);
      }
    }
  }

  private Outcome receive(String response, End end, boolean stream) throws Exception {
    AttemptRecorder recorder = new AttemptRecorder();
    try (ScriptedRunner runner =
        new ScriptedRunner(
            (number, connection, out) -> {
              ScriptedRunner.write(out, response);
              end.apply(connection);
            })) {
      HttpFields headers = HttpFields.build().add("Request-Id", "1").add("Host", "h.example");
      client.start(
          runner.entry(), "GET", "/x", "1", headers, new byte[0], policy(stream), recorder);
      return recorder.awaitOutcome();
    }
  }

  private static String head(String framing) {
    return "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n" + Headers.DIGEST + ": s\r\n" + framing + "\r\n";
  }

  @Nested
  class WithoutLengthOrChunks {

    @ParameterizedTest
    @EnumSource(names = {"RESET", "RESET_LATER"})
    void resetPlainResponseIsLost(End end) throws Exception {
      assertThat(receive(head("") + "half", end, false)).isInstanceOf(Outcome.ResponseLost.class);
    }

    @ParameterizedTest
    @EnumSource(names = {"RESET", "RESET_LATER"})
    void resetStreamIsLost(End end) throws Exception {
      assertThat(receive(head("") + EVENT, end, true)).isInstanceOf(Outcome.ResponseLost.class);
    }

    @ParameterizedTest
    @EnumSource(names = {"RESET", "RESET_LATER"})
    void resetBeforeTheBodyIsLost(End end) throws Exception {
      assertThat(receive(head(""), end, true)).isInstanceOf(Outcome.ResponseLost.class);
    }

    @ParameterizedTest
    @EnumSource(names = {"CLOSE", "HALF_CLOSE_THEN_RESET"})
    void closeEndsResponse(End end) throws Exception {
      assertThat(receive(head("") + "whole", end, false)).isInstanceOf(Outcome.Answered.class);
    }
  }

  @Nested
  class WithLength {
    @ParameterizedTest
    @EnumSource
    void shortBodyIsLost(End end) throws Exception {
      assertThat(receive(head("Content-Length: 9\r\n") + "half", end, false))
          .isInstanceOf(Outcome.ResponseLost.class);
    }

    @ParameterizedTest
    @EnumSource
    void wholeBodyIsComplete(End end) throws Exception {
      assertThat(receive(head("Content-Length: 5\r\n") + "whole", end, false))
          .isInstanceOf(Outcome.Answered.class);
    }
  }

  @Nested
  class WithChunks {
    private static final String CHUNKED = "Transfer-Encoding: chunked\r\n";

    @ParameterizedTest
    @EnumSource
    void missingLastChunkIsLost(End end) throws Exception {
      assertThat(receive(head(CHUNKED) + "4\r\nhalf\r\n", end, false))
          .isInstanceOf(Outcome.ResponseLost.class);
    }

    @Test
    void lastChunkWithoutItsLastLineEndIsComplete() throws Exception {
      assertThat(receive(head(CHUNKED) + "5\r\nwhole\r\n0\r\n", End.CLOSE, false))
          .isInstanceOf(Outcome.Answered.class);
    }
  }

  private static RepeatPolicy policy(boolean stream) {
    return stream ? RepeatPolicy.RESUMABLE_STREAM : RepeatPolicy.IDEMPOTENT;
  }
}
