package org.sequoiahub.node;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.sequoiahub.usersplatform.Headers;
import org.sequoiahub.usersplatform.standin.StandinConfiguration;
import org.sequoiahub.usersplatform.standin.StandinRunner;
import org.sequoiahub.usersplatform.standin.StandinRunner.Cut;

/** Guards against streams that a runner broke off and that callers receive as complete ones. */
@Timeout(value = 180, unit = TimeUnit.SECONDS)
class TruncatedStreamTest {

  private static final int EVENTS = 5;

  private LoopbackFleet fleet;
  private StandinRunner first;
  private StandinRunner second;

  @BeforeEach
  void open() throws Exception {
    fleet = new LoopbackFleet();
    fleet.configure(
        LoopbackFleet.route("/once/", "streaming", "llm", false),
        LoopbackFleet.route("/resumable/", "streaming", "llm", true),
        LoopbackFleet.route("/plain/", "unsafe", "plain", false),
        LoopbackFleet.route("/safe/", "safe", "plain", false),
        StandinConfiguration.streamRoute("/urgent/", "llm", 100, 200));
    first = fleet.startRunner("i-1", "llm", "m");
    second = fleet.startRunner("i-2", "llm", "m");
  }

  @AfterEach
  void close() throws Exception {
    fleet.close();
  }

  /**
   * What a caller received.
   *
   * @param text the bytes of the response, with its head and framing
   * @param end how its connection ended
   */
  private record Received(String text, RawCaller.End end) {

    boolean isCompleteByChunks() {
      return text.endsWith("\r\n0\r\n\r\n");
    }

    int lastEvent() {
      int at = text.lastIndexOf("data: words ");
      return at < 0 ? 0 : text.charAt(at + "data: words ".length()) - '0';
    }
  }

  /** Sends a request on a connection that the host is to close after the response. */
  private Received send(int host, String path, String id, String version) throws IOException {
    return send(
        host, path, id, version, Headers.MODEL + ": m\r\n" + Headers.TOKEN_COUNTS + ": 100,20");
  }

  private Received send(int host, String path, String id, String version, String headers)
      throws IOException {
    String request =
        String.join(
            "\r\n",
            "POST " + path + "x " + version,
            "Host: h.example",
            Headers.REQUEST_ID + ": " + id,
            Headers.DEADLINE + ": 15000",
            headers,
            "Content-Length: 1",
            "Connection: close",
            "",
            "x");
    RawCaller.Received received =
        RawCaller.send(LoopbackFleet.ip(host), fleet.callerPort(), request);
    return new Received(received.text(), received.end());
  }

  private Received sendPlain(String path, String id) throws IOException {
    return send(1, path, id, "HTTP/1.1", "Accept: */*");
  }

  /** Cuts the first host from the runners, and waits until another one serves its requests. */
  private void awaitPassingOn() throws Exception {
    fleet.cutFromRunners(1, LoopbackFleet.Cut.REFUSED);
    int[] probes = {0};
    LoopbackFleet.await(
        "requests to be passed on",
        () -> {
          try {
            return send(1, "/once/", "probe-" + probes[0]++, "HTTP/1.1").lastEvent() == EVENTS;
          } catch (IOException e) {
            return false;
          }
        });
  }

  private void cutAllAfter(int events, Cut cut) {
    for (StandinRunner runner : new StandinRunner[] {first, second}) {
      runner.sendStreamsUnframed();
      runner.cutStreamsAfter(events, cut);
    }
  }

  private void terminateAllAfterPieces(int count) {
    for (StandinRunner runner : new StandinRunner[] {first, second}) {
      runner.sendStreamsUnframed();
      runner.terminateAfterPieces(count);
    }
  }

  /** A killed process's connections are closed in order, like that of a whole response. */
  @Nested
  class RunnerTerminatesBetweenPieces {

    @Test
    void callerOfStreamThatCannotBeResumedSeesThatItWasBrokenOff() throws Exception {
      fleet.startOnlyNode();
      terminateAllAfterPieces(2);
      Received received = send(1, "/once/", "q1", "HTTP/1.1");
      assertThat(received.text()).startsWith("HTTP/1.1 200");
      assertThat(received.lastEvent()).isEqualTo(2);
      assertThat(received.isCompleteByChunks()).isFalse();
      assertThat(fleet.runCount("q1")).isEqualTo(1);
    }

    @Test
    void callerWithoutChunksSeesThatItWasBrokenOff() throws Exception {
      fleet.startOnlyNode();
      terminateAllAfterPieces(2);
      Received received = send(1, "/once/", "q1", "HTTP/1.0");
      assertWithMessage("end").that(received.end()).isEqualTo(RawCaller.End.RESET);
    }

    @Test
    void resumableStreamGoesOnAtAnotherRunner() throws Exception {
      fleet.startOnlyNode();
      AtomicInteger left = new AtomicInteger(1);
      for (StandinRunner runner : new StandinRunner[] {first, second}) {
        runner.sendStreamsUnframed();
        runner.terminateAfterPieces(2, left);
      }
      Received received = send(1, "/resumable/", "q1", "HTTP/1.1");
      assertWithMessage(received.text()).that(received.isCompleteByChunks()).isTrue();
      assertThat(received.lastEvent()).isEqualTo(EVENTS);
      assertThat(fleet.runCount("q1")).isEqualTo(2);
    }

    @Test
    void streamPassedOnByAnotherHostIsBrokenOff() throws Exception {
      fleet.startNodes(3);
      awaitPassingOn();
      terminateAllAfterPieces(2);
      Received received = send(1, "/once/", "q1", "HTTP/1.1");
      assertThat(received.lastEvent()).isEqualTo(2);
      assertThat(received.isCompleteByChunks()).isFalse();
    }

    @Test
    void plainResponseIsNotComplete() throws Exception {
      StandinRunner plain = fleet.startRunner("i-3", "plain", "");
      fleet.startOnlyNode();
      plain.sendPlainUnframed();
      Received whole = sendPlain("/plain/", "q1");
      assertThat(whole.text()).startsWith("HTTP/1.1 200");
      plain.terminateAfterPieces(1);
      Received cut = sendPlain("/plain/", "q2");
      assertThat(cut.text()).startsWith("HTTP/1.1 502");
      assertThat(fleet.runCount("q2")).isEqualTo(1);
    }

    @Test
    void idempotentRequestRunsAgain() throws Exception {
      StandinRunner third = fleet.startRunner("i-3", "plain", "");
      StandinRunner fourth = fleet.startRunner("i-4", "plain", "");
      fleet.startOnlyNode();
      third.sendPlainUnframed();
      fourth.sendPlainUnframed();
      third.terminateAfterPieces(1);
      for (int i = 0; i < 8; i++) {
        Received received = sendPlain("/safe/", "q" + i);
        assertThat(received.text()).startsWith("HTTP/1.1 200");
        assertThat(received.text()).contains("i-4 ");
      }
    }
  }

  @Nested
  class ServedHere {

    @BeforeEach
    void start() throws Exception {
      fleet.startOnlyNode();
    }

    @Test
    void wholeStreamWithoutFramingIsComplete() throws Exception {
      cutAllAfter(EVENTS, Cut.NONE);
      Received received = send(1, "/once/", "q1", "HTTP/1.1");
      assertThat(received.isCompleteByChunks()).isTrue();
      assertThat(received.lastEvent()).isEqualTo(EVENTS);
    }

    @ParameterizedTest
    @EnumSource(
        value = Cut.class,
        names = {"CLOSE_INSIDE_EVENT", "RESET_INSIDE_EVENT", "RESET_BETWEEN_EVENTS"})
    void callerOfStreamThatCannotBeResumedSeesThatItWasBrokenOff(Cut cut) throws Exception {
      cutAllAfter(2, cut);
      Received received = send(1, "/once/", "q1", "HTTP/1.1");
      assertThat(received.text()).startsWith("HTTP/1.1 200");
      assertThat(received.isCompleteByChunks()).isFalse();
      assertThat(received.lastEvent()).isEqualTo(2);
      assertThat(fleet.runCount("q1")).isEqualTo(1);
    }

    /** Guards against an abort that a caller without chunks takes for the end of the response. */
    @ParameterizedTest
    @EnumSource(
        value = Cut.class,
        names = {"CLOSE_INSIDE_EVENT", "RESET_BETWEEN_EVENTS"})
    void callerWithoutChunksSeesThatItWasBrokenOff(Cut cut) throws Exception {
      cutAllAfter(2, cut);
      Received received = send(1, "/once/", "q1", "HTTP/1.0");
      assertWithMessage("end").that(received.end()).isEqualTo(RawCaller.End.RESET);
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 2})
    void resumableStreamGoesOnAtAnotherRunner(int events) throws Exception {
      AtomicInteger cuts = new AtomicInteger(1);
      first.cutStreamsAfter(events, Cut.CLOSE_INSIDE_EVENT, cuts);
      second.cutStreamsAfter(events, Cut.CLOSE_INSIDE_EVENT, cuts);
      Received received = send(1, "/resumable/", "q1", "HTTP/1.1");
      assertThat(fleet.runCount("q1")).isEqualTo(2);
      assertThat(received.isCompleteByChunks()).isTrue();
      assertThat(received.lastEvent()).isEqualTo(EVENTS);
    }

    @Test
    void streamGoesOnAtAnotherRunnerAfterTheTimeForItsFirstEvent() throws Exception {
      AtomicInteger cuts = new AtomicInteger(1);
      for (StandinRunner runner : new StandinRunner[] {first, second}) {
        runner.streamEvents(EVENTS, 800);
        runner.cutStreamsAfter(3, Cut.RESET_INSIDE_EVENT, cuts);
      }
      Received received = send(1, "/urgent/", "q1", "HTTP/1.1");
      assertWithMessage(received.text()).that(received.isCompleteByChunks()).isTrue();
      assertThat(received.lastEvent()).isEqualTo(EVENTS);
    }

    /** Guards against a caller that waits for the rest of a stream that nobody sends any more. */
    @ParameterizedTest
    @ValueSource(ints = {404, 500})
    void callerSeesThatTheStreamCannotGoOn(int status) throws Exception {
      AtomicInteger cuts = new AtomicInteger(1);
      for (StandinRunner runner : new StandinRunner[] {first, second}) {
        runner.cutStreamsAfter(2, Cut.RESET_INSIDE_EVENT, cuts);
        runner.failModelRequestsAfterCuts(status);
      }
      Received received = send(1, "/resumable/", "q1", "HTTP/1.1");
      assertThat(received.lastEvent()).isEqualTo(2);
      assertThat(received.isCompleteByChunks()).isFalse();
      assertWithMessage("end").that(received.end()).isNotEqualTo(RawCaller.End.NONE);
    }

    @Test
    void streamWithoutAnyEventIsNotComplete() throws Exception {
      cutAllAfter(0, Cut.CLOSE_BETWEEN_EVENTS);
      Received received = send(1, "/once/", "q1", "HTTP/1.1");
      assertThat(received.text()).startsWith("HTTP/1.1 502");
    }
  }

  @Nested
  class PassedOnByAnotherHost {

    @BeforeEach
    void start() throws Exception {
      fleet.startNodes(3);
      awaitPassingOn();
    }

    @ParameterizedTest
    @EnumSource(
        value = Cut.class,
        names = {"CLOSE_INSIDE_EVENT", "RESET_INSIDE_EVENT", "RESET_BETWEEN_EVENTS"})
    void callerSeesThatTheStreamWasBrokenOff(Cut cut) throws Exception {
      cutAllAfter(2, cut);
      Received received = send(1, "/once/", "q1", "HTTP/1.1");
      assertThat(received.text()).startsWith("HTTP/1.1 200");
      assertThat(received.isCompleteByChunks()).isFalse();
      assertThat(received.lastEvent()).isEqualTo(2);
      assertThat(fleet.runCount("q1")).isEqualTo(1);
    }
  }
}
