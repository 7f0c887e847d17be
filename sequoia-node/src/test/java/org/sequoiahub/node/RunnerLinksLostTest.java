package org.sequoiahub.node;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.StringRequestContent;
import org.eclipse.jetty.http.HttpMethod;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.sequoiahub.usersplatform.Headers;
import org.sequoiahub.usersplatform.standin.StandinRunner;

/** Guards against callers of a host without links to the runners who are served far worse. */
@Timeout(value = 180, unit = TimeUnit.SECONDS)
class RunnerLinksLostTest {

  private static final int HOSTS = 3;
  private static final int CUT_HOST = 3;
  private static final int REQUESTS = 30;

  /** The users' bound: the time after a cut from which its callers must be served (ms). */
  private static final long STABILITY_MILLIS = 3_000;

  /** The deadline of a request, as short as that of the users' plain services (ms). */
  private static final String DEADLINE_MILLIS = "600";

  private final List<StandinRunner> runners = new ArrayList<>();
  private LoopbackFleet fleet;

  @BeforeEach
  void open() throws Exception {
    fleet = new LoopbackFleet();
    fleet.configure(
        LoopbackFleet.route("/s/", "streaming", "llm", false),
        LoopbackFleet.route("/safe/", "safe", "plain", false),
        LoopbackFleet.route("/unsafe/", "unsafe", "plain", false));
    for (int number = 1; number <= 3; number++) {
      runners.add(fleet.startRunner("i-llm-" + number, "llm", "m"));
      runners.add(fleet.startRunner("i-plain-" + number, "plain", ""));
    }
    fleet.startNodes(HOSTS);
  }

  @AfterEach
  void close() throws Exception {
    fleet.close();
  }

  private int status(int host, String prefix, String id) throws InterruptedException {
    try {
      return fleet
          .request(host, prefix + id, id)
          .method(HttpMethod.POST)
          .headers(
              headers -> {
                headers.put(Headers.DEADLINE, DEADLINE_MILLIS);
                if (prefix.equals("/s/")) {
                  headers.put(Headers.MODEL, "m").put(Headers.TOKEN_COUNTS, "100,20");
                }
              })
          .body(new StringRequestContent("body of " + id))
          .send()
          .getStatus();
    } catch (InterruptedException e) {
      throw e;
    } catch (Exception e) {
      return 0;
    }
  }

  /** Sends requests for the time until the host must have noticed. */
  private void sendUntilNoticed() throws InterruptedException {
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(STABILITY_MILLIS);
    for (int number = 0; System.nanoTime() < end; number++) {
      status(CUT_HOST, "/safe/", "early-" + number);
      TimeUnit.MILLISECONDS.sleep(50);
    }
  }

  /** At least two thirds of the first tries, as the users ask. */
  private static void assertServed(List<Integer> statuses) {
    assertWithMessage("statuses %s", statuses)
        .that(statuses.stream().filter(status -> status == 200).count())
        .isAtLeast(2 * statuses.size() / 3);
  }

  @Nested
  class AllHostsCut {
    /** Guards against requests that wait for their deadline or go back and forth between hosts. */
    @Test
    void requestsAreRefusedAtOnceAndServedAfterwards() throws Exception {
      for (int host = 1; host <= HOSTS; host++) {
        fleet.cutFromRunners(host, LoopbackFleet.Cut.REFUSED);
      }
      LoopbackFleet.await("a refusal for want of a path", () -> refusal(1).contains("its path"));
      LoopbackFleet.await("a refusal for want of a path", () -> refusal(2).contains("its path"));
      LoopbackFleet.await("a refusal for want of a path", () -> refusal(3).contains("its path"));
      assertThat(fleet.runCount("refused")).isEqualTo(0);
      for (int host = 1; host <= HOSTS; host++) {
        fleet.restoreLinks(host);
      }
      for (int host = 1; host <= HOSTS; host++) {
        int number = host;
        LoopbackFleet.await(
            "a response of host " + host,
            () -> {
              try {
                return status(number, "/safe/", "after-" + System.nanoTime()) == 200;
              } catch (InterruptedException e) {
                throw new IllegalStateException(e);
              }
            });
      }
    }

    /** Returns the text of a response with 503 and a Retry-After; empty for any other response. */
    private String refusal(int host) {
      try {
        ContentResponse response =
            fleet.request(host, "/unsafe/refused", "refused-" + System.nanoTime()).send();
        boolean refused =
            response.getStatus() == 503 && response.getHeaders().contains("Retry-After");
        return refused ? response.getContentAsString() : "";
      } catch (Exception e) {
        throw new IllegalStateException(e);
      }
    }
  }

  @Nested
  class CallerLeaves {
    private static final int EVENTS = 600;
    private static final int EVENT_MILLIS = 100;

    /** Guards against a runner that works on for a caller who left the host that passed it on. */
    @Test
    void runnerIsToldThroughTheOtherHost() throws Exception {
      runners.forEach(runner -> runner.streamEvents(EVENTS, EVENT_MILLIS));
      fleet.cutFromRunners(CUT_HOST, LoopbackFleet.Cut.REFUSED);
      LoopbackFleet.await(
          "a request that is passed on",
          () -> {
            try {
              return status(CUT_HOST, "/safe/", "early-" + System.nanoTime()) == 200;
            } catch (InterruptedException e) {
              throw new IllegalStateException(e);
            }
          });
      Request request =
          fleet
              .request(CUT_HOST, "/s/left", "left")
              .method(HttpMethod.POST)
              .headers(
                  headers -> headers.put(Headers.MODEL, "m").put(Headers.TOKEN_COUNTS, "100,20"))
              .body(new StringRequestContent("body"));
      request.send(result -> {});
      LoopbackFleet.await("the run", () -> fleet.runCount("left") == 1);
      request.abort(new IOException("the caller leaves"));
      LoopbackFleet.await(
          "the cancellation at the runner",
          () -> runners.stream().anyMatch(runner -> runner.cancelledRequests().contains("left")));
    }
  }

  @Nested
  class Cut {
    private void serves(LoopbackFleet.Cut cut, String prefix) throws Exception {
      fleet.cutFromRunners(CUT_HOST, cut);
      sendUntilNoticed();
      List<Integer> statuses = new ArrayList<>();
      for (int number = 0; number < REQUESTS; number++) {
        statuses.add(status(CUT_HOST, prefix, "cut-" + number));
      }
      assertServed(statuses);
      assertThat(fleet.maxRunCount("cut-")).isEqualTo(1);
    }

    @Test
    void plainRequestsAreServedIfConnectsHang() throws Exception {
      serves(LoopbackFleet.Cut.SILENT, "/safe/");
    }

    @Test
    void unsafeRequestsAreServedOnceIfConnectsHang() throws Exception {
      serves(LoopbackFleet.Cut.SILENT, "/unsafe/");
    }

    @Test
    void streamsAreServedIfConnectsAreRefused() throws Exception {
      serves(LoopbackFleet.Cut.REFUSED, "/s/");
    }
  }
}
