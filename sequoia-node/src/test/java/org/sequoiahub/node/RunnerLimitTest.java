package org.sequoiahub.node;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.IntFunction;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.StringRequestContent;
import org.eclipse.jetty.http.HttpMethod;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.sequoiahub.usersplatform.Headers;
import org.sequoiahub.usersplatform.standin.StandinRunner;

/** Guards against a runner that states a rate limit and gets more calls from all hosts together. */
@Timeout(value = 120, unit = TimeUnit.SECONDS)
class RunnerLimitTest {

  private static final int HOSTS = 3;
  private static final double LIMIT_PER_SECOND = 1;

  /** The users' bound in any window: this factor times what the limit allows, plus the slack. */
  private static final double BOUND_FACTOR = 1.5;

  private static final int BOUND_SLACK = 5;
  private static final long WINDOW_NANOS = TimeUnit.SECONDS.toNanos(4);

  /** Calls that arrive later than this after the first statement of the limit count (ns). */
  private static final long LEARNING_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  /** More than the runners can hold at a time, so that adapters are unloaded and loaded. */
  private static final int ADAPTERS = 12;

  private static final int REQUESTS = 160;
  private static final long REQUEST_PERIOD_MILLIS = 60;

  private LoopbackFleet fleet;
  private final List<StandinRunner> runners = new ArrayList<>();

  @BeforeEach
  void open() throws Exception {
    fleet = new LoopbackFleet();
    fleet.configure(
        LoopbackFleet.route("/s/", "streaming", "llm", false),
        LoopbackFleet.route("/p/", "safe", "plain", false));
  }

  @AfterEach
  void close() throws Exception {
    fleet.close();
  }

  private void startRunners(int count, String service, String model) throws Exception {
    for (int number = 1; number <= count; number++) {
      runners.add(fleet.startRunner("i-" + number, service, model));
    }
    fleet.startNodes(HOSTS);
  }

  /** Sends requests at a steady rate to all hosts in turn; returns how many succeeded. */
  private int sendRequests(IntFunction<Request> requests) throws Exception {
    AtomicInteger succeeded = new AtomicInteger();
    CountDownLatch answered = new CountDownLatch(REQUESTS);
    for (int number = 0; number < REQUESTS; number++) {
      requests
          .apply(number)
          .timeout(30, TimeUnit.SECONDS)
          .send(
              result -> {
                if (result.isSucceeded() && result.getResponse().getStatus() == 200) {
                  succeeded.incrementAndGet();
                }
                answered.countDown();
              });
      Thread.sleep(REQUEST_PERIOD_MILLIS);
    }
    answered.await();
    return succeeded.get();
  }

  private Request modelRequest(int number) {
    return fleet
        .request(1 + number % HOSTS, "/s/" + number, "r-" + number)
        .method(HttpMethod.POST)
        .headers(
            headers ->
                headers
                    .put(Headers.MODEL, "m/a" + number % ADAPTERS)
                    .put(Headers.TOKEN_COUNTS, "100,20"))
        .body(new StringRequestContent("x"));
  }

  private static int worstWindow(StandinRunner runner) {
    List<Long> counted = new ArrayList<>();
    long first = Long.MAX_VALUE;
    for (StandinRunner.Arrival arrival : runner.arrivals()) {
      if (!arrival.limit().isEmpty()) {
        first = Math.min(first, arrival.nanos());
        if (arrival.nanos() - first >= LEARNING_NANOS) {
          counted.add(arrival.nanos());
        }
      }
    }
    int worst = 0;
    for (int end = 0, begin = 0; end < counted.size(); end++) {
      while (counted.get(end) - counted.get(begin) > WINDOW_NANOS) {
        begin++;
      }
      worst = Math.max(worst, end - begin + 1);
    }
    return worst;
  }

  private static void assertWithinLimit(StandinRunner runner) {
    double bound =
        BOUND_FACTOR * LIMIT_PER_SECOND * TimeUnit.NANOSECONDS.toSeconds(WINDOW_NANOS)
            + BOUND_SLACK;
    assertWithMessage("calls to %s in the worst window", runner.id())
        .that((double) worstWindow(runner))
        .isAtMost(bound);
  }

  @Test
  void runnerOfModelsIsNotSentMore() throws Exception {
    startRunners(2, "llm", "m");
    runners.get(0).stateLimit("1");
    int succeeded = sendRequests(this::modelRequest);
    assertWithinLimit(runners.get(0));
    assertThat(succeeded).isEqualTo(REQUESTS);
  }

  /** Guards against orders and readings of the report that take no permits. */
  @Test
  void onlyRunnerOfModelsIsNotSentMoreOrdersAndReports() throws Exception {
    startRunners(1, "llm", "m");
    runners.get(0).stateLimit("1");
    sendRequests(this::modelRequest);
    assertWithinLimit(runners.get(0));
  }

  @Test
  void runnerOfPlainServiceIsNotSentMore() throws Exception {
    startRunners(3, "plain", "");
    runners.get(0).stateLimit("1.0");
    int succeeded =
        sendRequests(number -> fleet.request(1 + number % HOSTS, "/p/" + number, "r-" + number));
    assertWithinLimit(runners.get(0));
    assertThat(succeeded).isEqualTo(REQUESTS);
  }
}
