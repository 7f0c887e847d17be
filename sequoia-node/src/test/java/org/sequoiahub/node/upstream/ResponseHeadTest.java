package org.sequoiahub.node.upstream;

import static com.google.common.truth.Truth.assertWithMessage;
import static java.nio.charset.StandardCharsets.UTF_8;

import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.http.HttpFields;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.sequoiahub.core.routing.RepeatPolicy;
import org.sequoiahub.usersplatform.Headers;

/** Guards against responses whose heads contradict themselves and that count as complete. */
class ResponseHeadTest {

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

  private Outcome receive(String method, String response) throws Exception {
    AttemptRecorder recorder = new AttemptRecorder();
    try (ScriptedRunner runner =
        new ScriptedRunner(
            (number, connection, out) -> {
              ScriptedRunner.write(out, response);
              connection.close();
            })) {
      HttpFields headers = HttpFields.build().add("Request-Id", "1").add("Host", "h.example");
      client.start(
          runner.entry(),
          method,
          "/x",
          "1",
          headers,
          new byte[0],
          RepeatPolicy.IDEMPOTENT,
          recorder);
      return recorder.awaitOutcome();
    }
  }

  private static String describe(Outcome outcome) {
    return outcome instanceof Outcome.Answered answered
        ? answered.status() + " " + new String(answered.body(), UTF_8)
        : outcome.getClass().getSimpleName();
  }

  @ParameterizedTest(name = "{0}")
  @CsvSource(
      delimiter = '|',
      value = {
        "length twice, equal|GET|200|Content-Length: 5;Content-Length: 5|whole|ResponseLost",
        "length twice, differing|GET|200|Content-Length: 5;Content-Length: 3|whole|ResponseLost",
        "negative length|GET|200|Content-Length: -5|whole|ResponseLost",
        "length that is no number|GET|200|Content-Length: five|whole|ResponseLost",
        "huge length|GET|200|Content-Length: 9223372036854775807|whole|ResponseLost",
        "length beyond 64 bits|GET|200|Content-Length: 92233720368547758070|whole|ResponseLost",
        "length and chunks|GET|200|Content-Length: 2;Transfer-Encoding: chunked"
            + "|5\\whole\\0\\\\|ResponseLost",
        "another transfer encoding|GET|200|Transfer-Encoding: gzip|whole|ResponseLost",
        "transfer encoding after chunks|GET|200|Transfer-Encoding: chunked, gzip"
            + "|5\\whole\\0\\\\|ResponseLost",
        "no content|GET|204|X: y|''|'204 '",
        "not modified|GET|304|Content-Length: 5|''|'304 '",
        "HEAD|HEAD|200|Content-Length: 5|''|'200 '",
        "bytes after the body|GET|200|Content-Length: 5|whole and more|200 whole",
        "trailer|GET|200|Transfer-Encoding: chunked;Trailer: T|5\\whole\\0\\T: x\\\\|200 whole",
        "cut in a trailer|GET|200|Transfer-Encoding: chunked;Trailer: T|5\\whole\\0\\T: x"
            + "|ResponseLost",
        "cut in the last chunk|GET|200|Transfer-Encoding: chunked|5\\whole\\0|ResponseLost",
        "empty body|GET|200|Content-Length: 0|''|'200 '",
        "neither|GET|200|X: y|whole|200 whole"
      })
  void isTakenFor(
      String name, String method, int status, String fields, String body, String expected)
      throws Exception {
    String response =
        "HTTP/1.1 "
            + status
            + " S\r\nRequest-Id: 1\r\n"
            + Headers.DIGEST
            + ": s\r\n"
            + fields.replace(";", "\r\n")
            + "\r\n\r\n"
            + body.replace("\\", "\r\n");
    assertWithMessage(name).that(describe(receive(method, response))).isEqualTo(expected);
  }

  @ParameterizedTest
  @ValueSource(strings = {"100 Continue", "102 Processing", "103 Early Hints"})
  void informationalResponseBeforeIsSkipped(String status) throws Exception {
    String response =
        "HTTP/1.1 "
            + status
            + "\r\n\r\nHTTP/1.1 200 OK\r\nRequest-Id: 1\r\n"
            + Headers.DIGEST
            + ": s\r\nContent-Length: 5\r\n\r\nwhole";
    assertWithMessage(status).that(describe(receive("GET", response))).isEqualTo("200 whole");
  }
}
