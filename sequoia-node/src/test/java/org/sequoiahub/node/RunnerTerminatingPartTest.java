package org.sequoiahub.node;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.StringRequestContent;
import org.eclipse.jetty.http.HttpMethod;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sequoiahub.usersplatform.Headers;

/**
 * Guards against runners that terminate one after the other under different requests, which share
 * only a part of their prompts.
 */
@Timeout(value = 180, unit = TimeUnit.SECONDS)
class RunnerTerminatingPartTest {

  private static final int HOSTS = 3;
  private static final int RUNNERS = 5;
  private static final String BAD = "bad0";
  private static final String COMPANION = "c0";
  private static final int REQUESTS_AFTER = 24;

  /** Stands for a rejection with a long time to come back; no runner gives this status. */
  private static final int QUARANTINED = 1_503;

  private static final double MIN_QUARANTINE_SECONDS = 60;

  /** Time after the fifth termination from which the part must not reach runners any more (ms). */
  private static final long QUARANTINE_DELAY_MILLIS = 3_000;

  private LoopbackFleet fleet;
  private int number;

  @BeforeEach
  void open() throws Exception {
    fleet = new LoopbackFleet();
    fleet.configure(LoopbackFleet.route("/s/", "streaming", "llm", false));
  }

  @AfterEach
  void close() throws Exception {
    fleet.close();
  }

  /** Starts the fleet with runners that terminate after a number of events of such a request. */
  private void start(int events) throws Exception {
    for (int runner = 1; runner <= RUNNERS; runner++) {
      fleet.startRunnerTerminatedByPart("i-" + runner, "llm", "m", BAD, events);
    }
    fleet.startNodes(HOSTS);
  }

  /** Sends a request with a body and a last part of its own, to one host after the other. */
  private ContentResponse send(String idPrefix, String parts) throws Exception {
    return send(1 + number % HOSTS, idPrefix, parts);
  }

  private ContentResponse send(int host, String idPrefix, String parts) throws Exception {
    return request(host, "m", idPrefix, parts).send();
  }

  private synchronized Request request(int host, String model, String idPrefix, String parts) {
    String id = idPrefix + number++;
    return fleet
        .request(host, "/s/" + id, id)
        .method(HttpMethod.POST)
        .headers(
            headers ->
                headers
                    .put(Headers.MODEL, model)
                    .put(Headers.TOKEN_COUNTS, "100,20")
                    .put(Headers.PROMPT_PARTS, parts + ",e" + number + ":10"))
        .body(new StringRequestContent("prompt " + id));
  }

  private int status(String idPrefix, String parts) throws InterruptedException {
    try {
      ContentResponse response = send(idPrefix, parts);
      return isQuarantined(response) ? QUARANTINED : response.getStatus();
    } catch (ExecutionException | java.util.concurrent.TimeoutException e) {
      return 0;
    } catch (InterruptedException e) {
      throw e;
    } catch (Exception e) {
      throw new IllegalStateException(e);
    }
  }

  private static boolean isQuarantined(Response response) {
    String retryAfter = response.getHeaders().get("Retry-After");
    return response.getStatus() == 503
        && retryAfter != null
        && Double.parseDouble(retryAfter) > MIN_QUARANTINE_SECONDS;
  }

  /** Sends requests with the part until {@code count} runners have terminated or it is held. */
  private void terminateRunners(int count, String parts) throws InterruptedException {
    LoopbackFleet.await(
        count + " terminated runners, or a quarantine",
        () -> {
          try {
            int status = status("first-", parts);
            status("between-", COMPANION + ":50");
            return status == QUARANTINED || fleet.terminatedRunnerCount() >= count;
          } catch (InterruptedException e) {
            throw new IllegalStateException(e);
          }
        });
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "bad0:50",
        "bad0:50,c0:50",
        "c0:50,bad0:50",
        "c0:50,d0:50,bad0:50",
        "c0:50,bad0:50,c0:50"
      })
  void requestsWithPartAreNotSentAfterFiveRunnersTerminated(String parts) throws Exception {
    start(0);
    assertNotSentAfterFiveRunnersTerminated(parts);
  }

  @Test
  void requestsWithPartThatTerminatesAfterFirstEventAreNotSent() throws Exception {
    start(1);
    assertNotSentAfterFiveRunnersTerminated("c0:50,bad0:50");
  }

  private void assertNotSentAfterFiveRunnersTerminated(String parts) throws Exception {
    terminateRunners(RUNNERS, parts);
    TimeUnit.MILLISECONDS.sleep(QUARANTINE_DELAY_MILLIS);
    List<Integer> statuses = new ArrayList<>();
    List<Integer> soundStatuses = new ArrayList<>();
    for (int i = 0; i < REQUESTS_AFTER; i++) {
      statuses.add(status("again-", parts));
      soundStatuses.add(status("sound-", COMPANION + ":50"));
    }
    assertWithMessage("runs of requests with the part (statuses: %s)", statuses)
        .that(fleet.runCount("again-"))
        .isEqualTo(0);
    assertThat(statuses.stream().distinct().toList()).containsExactly(QUARANTINED);
    assertThat(fleet.terminatedRunnerCount()).isAtMost(RUNNERS);
    assertWithMessage("sound requests that share a part")
        .that(soundStatuses)
        .doesNotContain(QUARANTINED);
    assertThat(soundStatuses.stream().filter(status -> status == 200).count())
        .isAtLeast(REQUESTS_AFTER * 9 / 10);
  }

  @Test
  void hostStartedLaterDoesNotSendThemEither() throws Exception {
    start(0);
    terminateRunners(RUNNERS, "c0:50,bad0:50");
    fleet.startNode(HOSTS + 1);
    LoopbackFleet.await("the new host to be ready", () -> fleet.isReady(HOSTS + 1));
    TimeUnit.MILLISECONDS.sleep(QUARANTINE_DELAY_MILLIS);
    assertThat(send(HOSTS + 1, "again-", "c0:50,bad0:50").getStatus()).isEqualTo(503);
    assertThat(send(HOSTS + 1, "sound-", "c0:50").getStatus()).isEqualTo(200);
    assertThat(fleet.runCount("again-")).isEqualTo(0);
  }

  @Test
  void requestThatWaitsForItsAdapterIsRejectedOnceThePartIsHeld() throws Exception {
    fleet.loadMillis(60_000);
    start(0);
    CompletableFuture<Response> waiting = new CompletableFuture<>();
    request(1, "m/a1", "waiting-", "c0:50,bad0:50")
        .send(result -> waiting.complete(result.getResponse()));
    LoopbackFleet.await("the adapter to be ordered", fleet::isAnyOrderAccepted);
    terminateRunners(3, "c0:50,bad0:50");
    Response response = waiting.get();
    assertThat(response.getStatus()).isEqualTo(503);
    assertThat(isQuarantined(response)).isTrue();
    assertThat(fleet.runCount("waiting-")).isEqualTo(0);
  }

  /** Guards against callers that take up their broken streams at one host after the other. */
  @Test
  void streamTakenUpAtAnotherHostIsRejectedOnceThePartIsHeld() throws Exception {
    fleet.configure(LoopbackFleet.route("/s/", "streaming", "llm", true));
    start(1);
    terminateRunners(RUNNERS, "c0:50,bad0:50");
    TimeUnit.MILLISECONDS.sleep(QUARANTINE_DELAY_MILLIS);
    long terminated = fleet.terminatedRunnerCount();
    for (int host = 1; host <= HOSTS; host++) {
      Response response =
          request(host, "m", "taken-up-", "c0:50,bad0:50")
              .headers(
                  headers ->
                      headers
                          .put(Headers.LAST_EVENT_ID, "1")
                          .put(Headers.RESUMED_REQUEST_ID, "first-0"))
              .send();
      assertWithMessage("host %s rejects the stream", host).that(isQuarantined(response)).isTrue();
    }
    assertThat(fleet.runCount("taken-up-")).isEqualTo(0);
    assertThat(fleet.terminatedRunnerCount()).isEqualTo(terminated);
  }

  @Test
  void rejectionSaysWhenRequestsWithPartMayReturn() throws Exception {
    start(0);
    terminateRunners(RUNNERS, "c0:50,bad0:50");
    TimeUnit.MILLISECONDS.sleep(QUARANTINE_DELAY_MILLIS);
    ContentResponse response = send("again-", "d0:50,bad0:50");
    assertThat(response.getStatus()).isEqualTo(503);
    double seconds = Double.parseDouble(response.getHeaders().get("Retry-After"));
    assertThat(seconds).isGreaterThan(500.0);
    assertThat(seconds).isAtMost(600.0);
  }
}
