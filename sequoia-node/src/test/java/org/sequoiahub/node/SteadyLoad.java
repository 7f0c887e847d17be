package org.sequoiahub.node;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.StringRequestContent;
import org.eclipse.jetty.http.HttpMethod;
import org.sequoiahub.usersplatform.Headers;

/** Sends requests at a steady rate to all hosts of a fleet in turn. */
final class SteadyLoad {

  static final String MODEL_PREFIX = "/s/";
  static final String PLAIN_PREFIX = "/p/";
  private static final long PERIOD_MILLIS = 60;
  private static final long TIMEOUT_SECONDS = 30;

  private final LoopbackFleet fleet;
  private final int hosts;
  private final int adapters;
  private int number;

  /** Creates a load of model requests for {@code adapters} adapters, or of plain ones if 0. */
  SteadyLoad(LoopbackFleet fleet, int hosts, int adapters) {
    this.fleet = fleet;
    this.hosts = hosts;
    this.adapters = adapters;
  }

  /** Sends requests and returns all responses, also those of failed requests. */
  List<Response> send(int count) throws InterruptedException {
    List<Response> responses = new ArrayList<>();
    CountDownLatch answered = new CountDownLatch(count);
    for (int sent = 0; sent < count; sent++) {
      request()
          .timeout(TIMEOUT_SECONDS, TimeUnit.SECONDS)
          .send(
              result -> {
                synchronized (responses) {
                  responses.add(result.getResponse());
                }
                answered.countDown();
              });
      Thread.sleep(PERIOD_MILLIS);
    }
    answered.await();
    return responses;
  }

  private Request request() {
    number++;
    int host = 1 + number % hosts;
    if (adapters == 0) {
      return fleet.request(host, PLAIN_PREFIX + number, "r-" + number);
    }
    return fleet
        .request(host, MODEL_PREFIX + number, "r-" + number)
        .method(HttpMethod.POST)
        .headers(
            headers ->
                headers
                    .put(Headers.MODEL, "m/a" + number % adapters)
                    .put(Headers.TOKEN_COUNTS, "100,20"))
        .body(new StringRequestContent("x"));
  }
}
