package org.sequoiahub.node;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.sequoiahub.usersplatform.Headers;
import org.sequoiahub.usersplatform.standin.StandinRunner;
import org.sequoiahub.usersplatform.standin.StandinRunner.Cut;

/** Guards against responses that a host ends because their runner is silent for some time. */
@Timeout(value = 180, unit = TimeUnit.SECONDS)
class SilentRunnerTest {

  private static final int EVENTS = 5;

  /** Accepted pause between two events (ms). */
  private static final int EVENT_GAP_MILLIS = 300;

  /** A pause after which hosts look for another runner (ms). */
  private static final int PAUSE_MILLIS = 2_600;

  /** A pause after which hosts do not look for another runner yet (ms). */
  private static final int SHORT_PAUSE_MILLIS = 1_200;

  /** Number of streams that are sent at the same time. */
  private static final int STREAMS = 8;

  /** A pause that does not end while a test runs (ms). */
  private static final int ENDLESS_MILLIS = 15_000;

  /** An interval between two events that lets a stream last for the most part of a test (ms). */
  private static final int LONG_EVENT_MILLIS = 1_000;

  private static final Pattern EVENT = Pattern.compile("data: words (\\d)");

  private LoopbackFleet fleet;
  private StandinRunner first;

  @BeforeEach
  void open() throws Exception {
    fleet = new LoopbackFleet();
    fleet.configure(route("/s/", true));
    first = fleet.startRunner("i-1", "llm", "m");
    fleet.startOnlyNode();
  }

  @AfterEach
  void close() throws Exception {
    fleet.close();
  }

  private static String route(String prefix, boolean resumable) {
    return LoopbackFleet.route(prefix, "streaming", "llm", resumable)
        .replace("\"gapAimMs\":2000", "\"gapAimMs\":" + EVENT_GAP_MILLIS);
  }

  private StandinRunner startSecondRunner() throws Exception {
    return fleet.startRunner("i-2", "llm", "m");
  }

  private String send(String id) throws IOException {
    String request =
        String.join(
            "\r\n",
            "POST /s/x HTTP/1.1",
            "Host: h.example",
            Headers.REQUEST_ID + ": " + id,
            Headers.DEADLINE + ": 12000",
            Headers.MODEL + ": m",
            Headers.TOKEN_COUNTS + ": 100,20",
            "Content-Length: 1",
            "Connection: close",
            "",
            "x");
    return RawCaller.send(LoopbackFleet.ip(1), fleet.callerPort(), request).text();
  }

  private static void assertComplete(String response) {
    List<Integer> events = new ArrayList<>();
    Matcher event = EVENT.matcher(response);
    while (event.find()) {
      events.add(Integer.parseInt(event.group(1)));
    }
    assertWithMessage(response).that(response).startsWith("HTTP/1.1 200");
    assertWithMessage(response).that(events).containsExactly(1, 2, 3, 4, EVENTS).inOrder();
    assertWithMessage(response).that(response).endsWith("\r\n0\r\n\r\n");
  }

  private static void awaitRun(StandinRunner runner, String id) throws InterruptedException {
    LoopbackFleet.await(
        "request " + id + " at " + runner.id(), () -> runner.runs().containsKey(id));
  }

  /** The runner is the only one of its service. */
  @Nested
  class OnlyRunner {

    @Test
    void streamGoesOnAfterPause() throws Exception {
      first.pauseStreamsAfter(2, PAUSE_MILLIS, 1);
      assertComplete(send("q1"));
      assertThat(first.cancelledRequests()).isEmpty();
    }

    @Test
    void requestIsNotEndedByPauseBeforeItsFirstEvent() throws Exception {
      first.pauseStreamsAfter(0, PAUSE_MILLIS, 1);
      assertComplete(send("q1"));
      assertThat(fleet.runCount("q1")).isEqualTo(1);
    }

    @Test
    void streamGoesOnWhileTheConfigurationChanges() throws Exception {
      first.pauseStreamsAfter(2, PAUSE_MILLIS, 1);
      ExecutorService callers = Executors.newSingleThreadExecutor();
      Future<String> response = callers.submit(() -> send("q1"));
      awaitRun(first, "q1");
      for (int change = 1; change <= 5; change++) {
        String next = route("/s/", true).replace("\"timeoutMs\":20000", "\"timeoutMs\":" + change);
        fleet.configure(change % 2 == 0 ? next : route("/other/", false));
        Thread.sleep(100);
      }
      assertComplete(response.get());
      callers.shutdown();
    }
  }

  /** Another runner of the service is there, which started after the request was sent. */
  @Nested
  class SecondRunner {

    private ExecutorService callers;

    @BeforeEach
    void startCaller() {
      callers = Executors.newCachedThreadPool();
    }

    @AfterEach
    void stopCaller() {
      callers.shutdown();
    }

    private Future<String> beginStream(String id) throws InterruptedException {
      Future<String> response = callers.submit(() -> send(id));
      awaitRun(first, id);
      return response;
    }

    @Test
    void streamGoesOnAfterPauseIfTheOtherRunnerRefuses() throws Exception {
      first.pauseStreamsAfter(2, PAUSE_MILLIS, 1);
      Future<String> response = beginStream("q1");
      startSecondRunner().refuseModelRequests();
      assertComplete(response.get());
    }

    @Test
    void streamGoesOnAfterPauseIfTheOtherRunnerBreaksItOff() throws Exception {
      first.pauseStreamsAfter(2, PAUSE_MILLIS, 1);
      Future<String> response = beginStream("q1");
      startSecondRunner().cutStreamsAfter(0, Cut.RESET_INSIDE_EVENT);
      assertComplete(response.get());
    }

    /** Guards against a runner that refused a second run and may not resume the stream later. */
    @Test
    void streamIsResumedByRunnerThatRefusedTheSecondRun() throws Exception {
      first.pauseStreamsAfter(2, PAUSE_MILLIS, 1);
      first.cutStreamsAfter(3, Cut.RESET_INSIDE_EVENT);
      Future<String> response = beginStream("q1");
      startSecondRunner().refuseModelRequests(1);
      assertComplete(response.get());
    }

    @Test
    void streamGoesOnAfterPauseIfTheOtherRunnerRejectsIt() throws Exception {
      first.pauseStreamsAfter(2, PAUSE_MILLIS, 1);
      Future<String> response = beginStream("q1");
      startSecondRunner().failModelRequestsAfterCuts(404);
      assertComplete(response.get());
    }

    @Test
    void firstRunnerThatGoesOnBeforeTheOtherOneWins() throws Exception {
      first.pauseStreamsAfter(2, PAUSE_MILLIS, 1);
      Future<String> response = beginStream("q1");
      StandinRunner second = startSecondRunner();
      second.pauseStreamsAfter(2, ENDLESS_MILLIS, 1);
      assertComplete(response.get());
      assertThat(first.cancelledRequests()).isEmpty();
    }

    @Test
    void streamGoesOnElsewhereIfItsRunnerStaysSilent() throws Exception {
      first.pauseStreamsAfter(2, ENDLESS_MILLIS, 1);
      Future<String> response = beginStream("q1");
      StandinRunner second = startSecondRunner();
      assertComplete(response.get(ENDLESS_MILLIS, TimeUnit.MILLISECONDS));
      assertThat(second.runs()).containsKey("q1");
    }

    @Test
    void pauseDoesNotKeepLaterRequestsAway() throws Exception {
      first.pauseStreamsAfter(2, PAUSE_MILLIS, 1);
      Future<String> response = beginStream("q1");
      StandinRunner second = startSecondRunner();
      second.refuseWithBackoff("20");
      assertComplete(response.get());
      for (int request = 0; request < 10; request++) {
        assertComplete(send("later" + request));
      }
      assertThat(first.runs().keySet()).containsAtLeast("later0", "later9");
    }

    /** Guards against a runner that is avoided for seconds after a short pause of its port. */
    @Test
    void connectThatTimedOutDoesNotKeepLaterRequestsAway() throws Exception {
      first.streamEvents(EVENTS, LONG_EVENT_MILLIS);
      List<Future<String>> responses = new ArrayList<>();
      responses.add(beginStream("q1"));
      StandinRunner second = startSecondRunner();
      second.streamEvents(EVENTS, LONG_EVENT_MILLIS);
      fleet.cutFromRunner(1, first, LoopbackFleet.Cut.SILENT);
      for (int request = 2; request <= 5; request++) {
        String id = "q" + request;
        responses.add(callers.submit(() -> send(id)));
        awaitRun(second, id);
      }
      fleet.restoreLinks(1);
      Thread.sleep(2 * LONG_EVENT_MILLIS);
      responses.add(callers.submit(() -> send("q6")));
      assertAllComplete(responses);
      assertThat(first.runs()).containsKey("q6");
    }

    /** Guards against runners that are avoided, and requests held back, after a pause of all. */
    @Test
    void shortPauseOfAllRunnersChangesNothing() throws Exception {
      StandinRunner second = startSecondRunner();
      List<StandinRunner> runners = List.of(first, second);
      runners.forEach(runner -> runner.pauseStreamsAfter(2, SHORT_PAUSE_MILLIS, STREAMS));
      assertAllComplete(sendTogether("q"));
      assertThat(fleet.runCount("q")).isEqualTo(STREAMS);
      runners.forEach(runner -> runner.pauseStreamsAfter(0, 0, 0));
      runners.forEach(runner -> runner.streamEvents(EVENTS, LONG_EVENT_MILLIS / EVENTS));
      assertAllComplete(sendTogether("later"));
      assertThat(fleet.runCount("later")).isEqualTo(STREAMS);
      for (StandinRunner runner : runners) {
        assertThat(runner.cancelledRequests()).isEmpty();
        assertWithMessage("later requests at %s", runner.id())
            .that(runner.runs().keySet().stream().filter(id -> id.startsWith("later")).count())
            .isAtLeast(1);
      }
    }

    private List<Future<String>> sendTogether(String prefix) {
      List<Future<String>> responses = new ArrayList<>();
      for (int request = 0; request < STREAMS; request++) {
        String id = prefix + request;
        responses.add(callers.submit(() -> send(id)));
      }
      return responses;
    }

    private static void assertAllComplete(List<Future<String>> responses) throws Exception {
      for (Future<String> response : responses) {
        assertComplete(response.get());
      }
    }
  }
}
