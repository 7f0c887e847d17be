package org.sequoiahub.node;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.StringRequestContent;
import org.eclipse.jetty.http.HttpMethod;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.sequoiahub.usersplatform.Headers;

/**
 * Symptom: one runner after the other ends, each taking the streams of all its callers with it; a
 * fleet of eight lost ten of them in 16 s, several times.
 *
 * <p>Events: a request ends the process of each runner that begins to run it. Its caller gets no
 * answer and brings it again, under a new id and to any host.
 *
 * <p>Cause: a host judged each arrival by itself. Nothing outlived a call, no two calls were
 * compared, and no host told the others under which request a runner had ended.
 *
 * <p>Evidence: in the hosts' logs each of ten ends had one broken attempt for the same adapter and
 * with a prompt of the same length, sent once, 60 to 140 ms before the end, mostly by another host.
 */
@Timeout(value = 180, unit = TimeUnit.SECONDS)
class RunnerEndingRequestTest {

  private static final int HOSTS = 3;
  private static final int RUNNERS = 4;
  private static final String DEADLY = "deadly";

  /** The users' bound: so long after the third end a request may be sent on no more (ms). */
  private static final long BOUND_MILLIS = 3_000;

  private LoopbackFleet fleet;
  private HttpClient elsewhere;
  private int brought;

  @BeforeEach
  void open() throws Exception {
    fleet = new LoopbackFleet();
    elsewhere = fleet.callerFrom("127.0.0.99");
    fleet.configure(LoopbackFleet.route("/s/", "streaming", "llm", false));
    for (int number = 1; number <= RUNNERS; number++) {
      fleet.startMortalRunner("i-" + number, "llm", "m", DEADLY);
    }
    fleet.startNodes(HOSTS);
  }

  @AfterEach
  void close() throws Exception {
    fleet.close();
  }

  /** Every other request comes from another address of the caller's, and by a path of its own. */
  private ContentResponse bring(int number, String id, String body) throws Exception {
    brought++;
    return fleet
        .request(brought % 2 == 0 ? fleet.caller : elsewhere, number, "/s/" + id, id)
        .method(HttpMethod.POST)
        .headers(headers -> headers.put(Headers.MODEL, "m").put(Headers.TOKEN_COUNTS, "100,20"))
        .body(new StringRequestContent(body))
        .send();
  }

  private int status(int number, String id, String body) throws InterruptedException {
    try {
      return bring(number, id, body).getStatus();
    } catch (ExecutionException | java.util.concurrent.TimeoutException e) {
      return 0;
    } catch (InterruptedException e) {
      throw e;
    } catch (Exception e) {
      throw new IllegalStateException(e);
    }
  }

  private static int host(int attempt) {
    return 1 + attempt % HOSTS;
  }

  /** Brings the request to one host after the other until so many runners have ended. */
  private void endRunners(int count) throws InterruptedException {
    int[] attempt = {0};
    LoopbackFleet.await(
        count + " runners ended",
        () -> {
          try {
            status(host(attempt[0]), "first-" + attempt[0]++, DEADLY);
          } catch (InterruptedException e) {
            throw new IllegalStateException(e);
          }
          return fleet.endedRunners() >= count;
        });
  }

  @Test
  void isNotSentOnOnceThreeRunnersEndedUnderIt() throws Exception {
    endRunners(3);
    TimeUnit.MILLISECONDS.sleep(BOUND_MILLIS);
    List<Integer> statuses = new ArrayList<>();
    for (int attempt = 0; attempt < 4 * HOSTS; attempt++) {
      statuses.add(status(host(attempt), "again-" + attempt, DEADLY));
    }
    assertWithMessage("runs of the request after three runners ended (answers: %s)", statuses)
        .that(fleet.runs("again-"))
        .isEqualTo(0);
    assertThat(fleet.endedRunners()).isEqualTo(3);
    assertThat(statuses.stream().distinct().toList()).containsExactly(503);
  }

  @Test
  void theAnswerSaysWhenItMayComeBack() throws Exception {
    endRunners(3);
    TimeUnit.MILLISECONDS.sleep(BOUND_MILLIS);
    ContentResponse answer = bring(1, "again", DEADLY);
    assertThat(answer.getStatus()).isEqualTo(503);
    double seconds = Double.parseDouble(answer.getHeaders().get("Retry-After"));
    assertThat(seconds).isGreaterThan(500.0);
    assertThat(seconds).isAtMost(600.0);
  }

  @Test
  void otherRequestsAreServed() throws Exception {
    assertThat(status(1, "before", "harmless")).isEqualTo(200);
    endRunners(3);
    TimeUnit.MILLISECONDS.sleep(BOUND_MILLIS);
    for (int host = 1; host <= HOSTS; host++) {
      int number = host;
      LoopbackFleet.await(
          "an answer by host " + host,
          () -> {
            try {
              return status(number, "after-" + System.nanoTime(), "harmless") == 200;
            } catch (InterruptedException e) {
              throw new IllegalStateException(e);
            }
          });
    }
  }

  /**
   * Symptom: a request that harmed nobody is refused for ten minutes, and after it for an hour by
   * one more lost answer.
   *
   * <p>Events: its answer is lost at three runners in a row, each of which lives on.
   *
   * <p>Cause looked for: a broken connection that counts as the proved end of a runner. Unproved
   * ends hold a request back too, but for seconds only.
   *
   * <p>Evidence: red if each broken connection is noted as proved.
   */
  @Test
  void lostAnswersOfLivingRunnersCountForSecondsOnly() throws Exception {
    fleet.loseAnswersOf("unlucky");
    int[] attempt = {0};
    LoopbackFleet.await(
        "the request held back",
        () -> {
          try {
            return status(host(attempt[0]), "unlucky-" + attempt[0]++, "unlucky") == 503;
          } catch (InterruptedException e) {
            throw new IllegalStateException(e);
          }
        });
    fleet.loseAnswersOf("");
    assertThat(fleet.endedRunners()).isEqualTo(0);
    LoopbackFleet.await(
        "the request served again",
        () -> {
          try {
            return status(1, "unlucky-again-" + System.nanoTime(), "unlucky") == 200;
          } catch (InterruptedException e) {
            throw new IllegalStateException(e);
          }
        });
  }

  /** A host that starts when the ends are long over learns of them before it serves. */
  @Test
  void hostThatStartsLaterHoldsItBackToo() throws Exception {
    endRunners(3);
    fleet.startNode(HOSTS + 1);
    LoopbackFleet.await("the new host ready", () -> fleet.isReady(HOSTS + 1));
    TimeUnit.MILLISECONDS.sleep(BOUND_MILLIS);
    assertThat(status(HOSTS + 1, "again", DEADLY)).isEqualTo(503);
    assertThat(fleet.runs("again")).isEqualTo(0);
  }
}
