package org.sequoiahub.node.upstream;

import static com.google.common.truth.Truth.assertThat;

import java.io.OutputStream;
import java.net.Socket;
import java.security.SecureRandom;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.HttpClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sequoiahub.core.response.SenderState;
import org.sequoiahub.core.routing.ServiceSpec;
import org.sequoiahub.core.runnerstate.RunnerSignals;
import org.sequoiahub.core.upstream.RunnerEntry;
import org.sequoiahub.core.workspace.KeyHasher;
import org.sequoiahub.usersplatform.Headers;
import org.sequoiahub.usersplatform.RecordDecoder;
import org.sequoiahub.usersplatform.RunnerProbeClient;

/** Guards against answers, and missing answers, that are taken for those of a running runner. */
class RunnerProbeClientTest {

  private static final long TIMEOUT_MILLIS = 300;

  private final List<RunnerSignals> signals = new CopyOnWriteArrayList<>();
  private HttpClient http;

  @BeforeEach
  void start() throws Exception {
    http = UpstreamClient.start();
  }

  @AfterEach
  void stop() throws Exception {
    http.stop();
  }

  private SenderState probe(RunnerEntry runner, String healthPath) throws Exception {
    RunnerProbeClient client =
        new RunnerProbeClient(
            http,
            new RecordDecoder(KeyHasher.withRandomSecret(new SecureRandom())),
            entry -> Optional.of(new ServiceSpec("s", 10, healthPath, null)),
            (entry, stated) -> signals.add(stated),
            System::currentTimeMillis);
    CompletableFuture<SenderState> state = new CompletableFuture<>();
    client.probe(runner, TIMEOUT_MILLIS, state::complete);
    return state.get(10, TimeUnit.SECONDS);
  }

  @ParameterizedTest
  @CsvSource({
    "200, i-1, RUNNING",
    "503, i-1, RUNNING",
    "200, i-2, TERMINATED",
    "421, i-2, TERMINATED",
    "421, '', TERMINATED",
    "200, '', UNKNOWN",
    "503, '', UNKNOWN",
    "429, '', UNKNOWN"
  })
  void answerTellsTheState(int status, String instance, SenderState expected) throws Exception {
    String name = instance.isEmpty() ? "" : Headers.RUNNER + ": " + instance + "\r\n";
    try (ScriptedRunner runner =
        new ScriptedRunner(
            (number, connection, out) ->
                ScriptedRunner.write(
                    out, "HTTP/1.1 " + status + " S\r\n" + name + "Content-Length: 0\r\n\r\n"))) {
      assertThat(probe(runner.entry(), "/alive")).isEqualTo(expected);
      assertThat(runner.requestHeads().get(0)).startsWith("GET /alive HTTP/1.1\r\n");
      assertThat(runner.requestHeads().get(0)).contains(Headers.EXPECTED_RUNNER + ": i-1\r\n");
    }
  }

  /** Guards against questions that are repeated although the runner asked for a pause. */
  @Test
  void backoffIsReportedBeforeTheResult() throws Exception {
    try (ScriptedRunner runner =
        new ScriptedRunner(
            (number, connection, out) ->
                ScriptedRunner.write(
                    out,
                    "HTTP/1.1 503 S\r\n"
                        + (Headers.RETRY_AFTER + ": 2\r\n" + Headers.NOT_RUN + ": 1\r\n")
                        + "Content-Length: 0\r\n\r\n"))) {
      assertThat(probe(runner.entry(), "/alive")).isEqualTo(SenderState.UNKNOWN);
      assertThat(signals).hasSize(1);
      assertThat(signals.get(0).affectsSending()).isTrue();
    }
  }

  @Test
  void refusedConnectionMeansTerminated() throws Exception {
    RunnerEntry gone;
    try (ScriptedRunner runner = new ScriptedRunner((number, connection, out) -> {})) {
      gone = runner.entry();
    }
    assertThat(probe(gone, "/alive")).isEqualTo(SenderState.TERMINATED);
  }

  @Test
  void resetTellsNothing() throws Exception {
    try (ScriptedRunner runner =
        new ScriptedRunner((number, connection, out) -> ScriptedRunner.reset(connection))) {
      assertThat(probe(runner.entry(), "/alive")).isEqualTo(SenderState.UNKNOWN);
    }
  }

  @Test
  void silenceTellsNothing() throws Exception {
    try (ScriptedRunner runner = new ScriptedRunner(RunnerProbeClientTest::keepSilent)) {
      assertThat(probe(runner.entry(), "/alive")).isEqualTo(SenderState.UNKNOWN);
    }
  }

  private static void keepSilent(int number, Socket connection, OutputStream out)
      throws InterruptedException {
    Thread.sleep(4 * TIMEOUT_MILLIS);
  }

  @Test
  void serviceWithoutHealthPathTellsNothing() throws Exception {
    try (ScriptedRunner runner = new ScriptedRunner((number, connection, out) -> {})) {
      assertThat(probe(runner.entry(), "")).isEqualTo(SenderState.UNKNOWN);
      assertThat(runner.requestHeads()).isEmpty();
    }
  }
}
