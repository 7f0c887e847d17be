package org.sequoiahub.node;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sequoiahub.usersplatform.Headers;
import org.sequoiahub.usersplatform.standin.StandinConfiguration;
import org.sequoiahub.usersplatform.standin.StandinRunner;
import org.sequoiahub.usersplatform.standin.StandinRunner.Cut;

/**
 * Guards against responses in progress that end by something that must not end them, and against
 * ends that are not counted by their cause.
 */
@Timeout(value = 180, unit = TimeUnit.SECONDS)
class ResponseEndCausesTest {

  private static final String ONCE = "/once/";
  private static final String RESUMABLE = "/resumable/";
  private static final String SHORT = "/short/";
  private static final String PLAIN = "/plain/";
  private static final String[] CAUSES = {
    "caller_disconnected", "deadline", "key_revoked", "attempts_failed"
  };

  private static final int EVENT_MILLIS = 50;

  /** More events than a stream of these tests reaches, unless it is ended. */
  private static final int ENDLESS = 1_000;

  private static final int ROUTE_TIMEOUT_MILLIS = 1_000;
  private static final int LONG_MILLIS = 50_000;

  /** The users' bound from the leaving of a caller to the end of the work for it (ns). */
  private static final long CALLER_GONE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  private LoopbackFleet fleet;
  private StandinRunner runner;

  /** Streams that have begun and whose caller has left to test something else. */
  private int probesLeft;

  @BeforeEach
  void open() throws Exception {
    fleet = new LoopbackFleet();
    fleet.configure(routes().toArray(new String[0]));
    runner = startRunner("i-1");
    fleet.startRunner("i-p", "plain", "");
  }

  @AfterEach
  void close() throws Exception {
    fleet.close();
  }

  private static List<String> routes() {
    String once = LoopbackFleet.route(ONCE, "streaming", "llm", false);
    return List.of(
        once.replace("\"timeoutMs\":20000", "\"timeoutMs\":" + LONG_MILLIS),
        LoopbackFleet.route(RESUMABLE, "streaming", "llm", true)
            .replace("\"timeoutMs\":20000", "\"timeoutMs\":" + LONG_MILLIS),
        LoopbackFleet.route(SHORT, "streaming", "llm", false)
            .replace("\"timeoutMs\":20000", "\"timeoutMs\":" + ROUTE_TIMEOUT_MILLIS),
        LoopbackFleet.route(PLAIN, "safe", "plain", false));
  }

  private StandinRunner startRunner(String id) throws Exception {
    StandinRunner started = fleet.startRunner(id, "llm", "m");
    started.streamEvents(ENDLESS, EVENT_MILLIS);
    return started;
  }

  private OpenResponse send(int host, String prefix, String id, String... headers)
      throws IOException {
    List<String> lines =
        new ArrayList<>(
            List.of(
                "POST " + prefix + "x HTTP/1.1",
                "Host: h.example",
                Headers.REQUEST_ID + ": " + id,
                "Content-Length: 1",
                "Connection: close"));
    if (!prefix.equals(PLAIN)) {
      lines.addAll(List.of(Headers.MODEL + ": m", Headers.TOKEN_COUNTS + ": 100,20"));
    }
    lines.addAll(List.of(headers));
    lines.add("");
    lines.add("x");
    return OpenResponse.send(
        LoopbackFleet.ip(host), fleet.callerPort(), lines.toArray(new String[0]));
  }

  private OpenResponse begin(String prefix, String id, String... headers) throws Exception {
    OpenResponse response = send(1, prefix, id, headers);
    response.awaitEvent(2);
    return response;
  }

  /** Sends a request that is not to be served for long, and returns the status. */
  private int status(String prefix, String id, String... headers) {
    try (OpenResponse response = send(1, prefix, id, headers)) {
      LoopbackFleet.await("a status", () -> response.text().contains("\r\n"));
      int status = Integer.parseInt(response.text().substring(9, 12));
      if (status == 200 && !prefix.equals(PLAIN)) {
        probesLeft++;
      }
      return status;
    } catch (IOException | InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Lets the streams of a runner go on for some events and end in order. */
  private static void assertGoesOn(OpenResponse response, StandinRunner at)
      throws InterruptedException {
    response.awaitMoreEvents();
    at.streamEvents(1, EVENT_MILLIS);
    response.assertWholeStream();
  }

  private void assertNoneEndedEarly(int host) throws InterruptedException {
    assertEndedEarlyBy(host, "");
  }

  /** Checks that, beside probes, one response was ended by this cause and none by another. */
  private void assertEndedEarlyBy(int host, String expected) throws InterruptedException {
    for (String cause : CAUSES) {
      int count =
          (cause.equals(expected) ? 1 : 0) + (cause.equals("caller_disconnected") ? probesLeft : 0);
      LoopbackFleet.await(
          count + " ends by " + cause,
          () -> fleet.metric(host, "responses.ended_early." + cause) >= count);
      assertWithMessage(cause)
          .that(fleet.metric(host, "responses.ended_early." + cause))
          .isEqualTo((double) count);
    }
  }

  private void awaitCancelled(StandinRunner at, String id) throws InterruptedException {
    LoopbackFleet.await("the cancellation of " + id, () -> at.cancelledRequests().contains(id));
  }

  /** What ends a response in progress. */
  @Nested
  class Ends {

    @Test
    void callerThatLeaves() throws Exception {
      fleet.startOnlyNode();
      begin(ONCE, "q1").close();
      awaitCancelled(runner, "q1");
      assertEndedEarlyBy(1, "caller_disconnected");
    }

    /** The majority of some requests counts, as a busy machine may delay single ones. */
    @Test
    void callerThatLeavesEndsTheWorkInTime() throws Exception {
      fleet.startOnlyNode();
      int inTime = 0;
      for (int request = 0; request < 5; request++) {
        String id = "q" + request;
        begin(ONCE, id).close();
        long left = System.nanoTime();
        awaitCancelled(runner, id);
        inTime += System.nanoTime() - left <= CALLER_GONE_NANOS ? 1 : 0;
      }
      assertThat(inTime).isAtLeast(3);
    }

    @Test
    void deadlineOfTheCaller() throws Exception {
      fleet.startOnlyNode();
      OpenResponse response = begin(ONCE, "q1", Headers.DEADLINE + ": 1000");
      response.assertBrokenOff();
      awaitCancelled(runner, "q1");
      assertEndedEarlyBy(1, "deadline");
    }

    @Test
    void timeoutOfTheRoute() throws Exception {
      fleet.startOnlyNode();
      OpenResponse response = begin(SHORT, "q1", Headers.DEADLINE + ": " + LONG_MILLIS);
      response.assertBrokenOff();
      awaitCancelled(runner, "q1");
      assertEndedEarlyBy(1, "deadline");
    }

    @Test
    void shutdownAtItsLastMoment() throws Exception {
      Node node = fleet.startOnlyNode();
      OpenResponse response = begin(ONCE, "q1");
      node.leave();
      response.assertBrokenOff();
      awaitCancelled(runner, "q1");
      assertEndedEarlyBy(1, "deadline");
    }

    @ParameterizedTest
    @ValueSource(strings = {ONCE, RESUMABLE})
    void brokenConnectionIfNoOtherRunnerMayGoOn(String prefix) throws Exception {
      fleet.startOnlyNode();
      OpenResponse response = begin(prefix, "q1");
      runner.cutStreamsAfter(0, Cut.RESET_INSIDE_EVENT);
      response.assertBrokenOff();
      assertEndedEarlyBy(1, "attempts_failed");
    }

    @Test
    void keyThatWasRevokedBeforeTheStreamIsResumed() throws Exception {
      fleet.configure(routes(), List.of(workspace("key-one")));
      fleet.startOnlyNode();
      final OpenResponse response =
          begin(RESUMABLE, "q1", Headers.AUTHORIZATION + ": Bearer key-one");
      startRunner("i-2");
      revokeKey();
      runner.cutStreamsAfter(0, Cut.RESET_INSIDE_EVENT);
      response.assertBrokenOff();
      assertThat(fleet.runCount("q1")).isEqualTo(1);
      assertEndedEarlyBy(1, "key_revoked");
    }

    @Test
    void callerOfStreamThatAnotherHostServes() throws Exception {
      startPassingOn();
      OpenResponse response = begin(ONCE, "q1");
      response.close();
      awaitCancelled(runner, "q1");
      assertEndedEarlyBy(1, "caller_disconnected");
    }
  }

  /** What must not end a response in progress. */
  @Nested
  class GoesOn {

    @ParameterizedTest
    @ValueSource(strings = {ONCE, RESUMABLE})
    void afterItsKeyIsRevoked(String prefix) throws Exception {
      fleet.configure(routes(), List.of(workspace("key-one")));
      fleet.startOnlyNode();
      OpenResponse response = begin(prefix, "q1", Headers.AUTHORIZATION + ": Bearer key-one");
      revokeKey();
      assertGoesOn(response, runner);
      assertNoneEndedEarly(1);
    }

    @ParameterizedTest
    @ValueSource(strings = {ONCE, RESUMABLE})
    void whileThePathToTheRunnersIsLost(String prefix) throws Exception {
      fleet.startOnlyNode();
      OpenResponse response = begin(prefix, "q1");
      losePath(1);
      assertGoesOn(response, runner);
      assertNoneEndedEarly(1);
    }

    @Test
    void afterItsRunnerSaysThatItLeaves() throws Exception {
      fleet.startOnlyNode();
      OpenResponse response = begin(RESUMABLE, "q1");
      runner.stateLeaving();
      awaitRefusal();
      assertGoesOn(response, runner);
      assertNoneEndedEarly(1);
    }

    @Test
    void afterTheEntryOfItsRunnerSaysThatItLeaves() throws Exception {
      fleet.startOnlyNode();
      OpenResponse response = begin(RESUMABLE, "q1");
      fleet.publish(runner, "draining");
      awaitRefusal();
      assertGoesOn(response, runner);
      assertNoneEndedEarly(1);
    }

    @ParameterizedTest
    @ValueSource(strings = {ONCE, RESUMABLE})
    void afterTheEntryOfItsRunnerIsRemoved(String prefix) throws Exception {
      fleet.startOnlyNode();
      OpenResponse response = begin(prefix, "q1");
      fleet.store.delete("servers/" + runner.id());
      awaitRefusal();
      assertGoesOn(response, runner);
      assertNoneEndedEarly(1);
    }

    @Test
    void whileItsRunnerWantsNoCalls() throws Exception {
      fleet.startOnlyNode();
      OpenResponse response = begin(RESUMABLE, "q1");
      runner.refuseWithBackoff("40");
      awaitRefusal();
      assertGoesOn(response, runner);
      assertNoneEndedEarly(1);
    }

    @Test
    void afterPartOfItsPromptIsQuarantined() throws Exception {
      fleet.startOnlyNode();
      String parts = Headers.PROMPT_PARTS + ": bad0:50,e";
      final OpenResponse response = begin(RESUMABLE, "q1", parts + "0:10");
      for (int number = 2; number <= 7; number++) {
        fleet.startRunnerTerminatedByPart("i-" + number, "llm", "m", "bad0", 0);
      }
      runner.refuseWithBackoff("60");
      int[] sent = {0};
      LoopbackFleet.await(
          "a quarantine of the part",
          () -> {
            status(ONCE, "bad" + sent[0], parts + ++sent[0] + ":10");
            return fleet.metric(1, "requests.held_back") > 0;
          });
      assertGoesOn(response, runner);
      assertNoneEndedEarly(1);
    }

    @Test
    void whenSettingsAreReadAgain() throws Exception {
      Node node = fleet.startOnlyNode();
      OpenResponse response = begin(ONCE, "q1");
      node.reload(fleet.settings(1, List.of(LoopbackFleet.ip(1), LoopbackFleet.ip(2))));
      assertGoesOn(response, runner);
      assertNoneEndedEarly(1);
    }

    @Test
    void duringShutdownThatLeavesTimeForIt() throws Exception {
      fleet.shutdownMillis(LONG_MILLIS);
      Node node = fleet.startOnlyNode();
      OpenResponse response = begin(ONCE, "q1");
      Thread leaving =
          new Thread(
              () -> {
                try {
                  node.leave();
                } catch (InterruptedException e) {
                  Thread.currentThread().interrupt();
                }
              });
      leaving.start();
      LoopbackFleet.await("the shutdown", () -> !fleet.isReady(1));
      assertGoesOn(response, runner);
      assertNoneEndedEarly(1);
      leaving.interrupt();
      leaving.join();
    }

    /** Guards against connections between hosts that close while only one side sends. */
    @Test
    void whenAnotherHostServesIt() throws Exception {
      startPassingOn();
      OpenResponse response = begin(ONCE, "q1");
      response.awaitEvent(160);
      assertGoesOn(response, runner);
      assertThat(fleet.runCount("q1")).isEqualTo(1);
      assertNoneEndedEarly(1);
    }
  }

  private static String workspace(String key) {
    return StandinConfiguration.workspace("studio", List.of(key), 0);
  }

  private void revokeKey() throws InterruptedException {
    fleet.configure(routes(), List.of(workspace("key-two")));
    int[] sent = {0};
    LoopbackFleet.await(
        "the refusal of the key",
        () ->
            status(PLAIN, "probe" + sent[0]++, Headers.AUTHORIZATION + ": Bearer key-one") == 401);
  }

  /** Waits until the host sends no further request to the runner. */
  private void awaitRefusal() throws InterruptedException {
    int[] sent = {0};
    LoopbackFleet.await("a refusal", () -> status(ONCE, "probe" + sent[0]++) == 503);
  }

  /** Cuts a host from the runners and waits until it knows. */
  private void losePath(int host) throws Exception {
    fleet.cutFromRunners(host, LoopbackFleet.Cut.REFUSED);
    int[] sent = {0};
    LoopbackFleet.await(
        "the loss of the path",
        () -> {
          status(PLAIN, "probe" + sent[0]++);
          return fleet.metric(host, "runner_path.lost") > 0;
        });
  }

  /** Starts two hosts, of which the first one passes its requests on to the second one. */
  private void startPassingOn() throws Exception {
    fleet.startNodes(2);
    losePath(1);
    int[] sent = {0};
    LoopbackFleet.await(
        "a request that is passed on", () -> status(PLAIN, "first" + sent[0]++) == 200);
  }
}
