package org.sequoiahub.soak;

import java.util.List;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.LongSupplier;
import org.eclipse.jetty.client.CompletableResponseListener;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.StringRequestContent;
import org.eclipse.jetty.http.HttpMethod;
import org.sequoiahub.soak.RequestResult.Kind;
import org.sequoiahub.usersplatform.Headers;

/**
 * Sends requests to randomly chosen hosts, as callers do, and records the result of each.
 *
 * <p>Open connections to a host are used until the host closes them or its process is gone.
 */
final class Callers {

  /** How long a caller waits for the complete response (ms). */
  static final long DEADLINE_MILLIS = 4_000;

  private static final int ADAPTERS = 12;

  private final HttpClient http;
  private final List<HostProcess> hosts;
  private final int port;
  private final Random random;
  private final String runId;
  private final List<Kind> kinds;
  private final LongSupplier deadlineMillis;
  private final AtomicInteger sentCount = new AtomicInteger();
  private final AtomicInteger inProgress = new AtomicInteger();
  private final Queue<RequestResult> results = new ConcurrentLinkedQueue<>();

  /**
   * Creates callers.
   *
   * @param port the port on which each host serves callers
   * @param runId the prefix of each request id, which keeps the ids of different runs distinct
   * @param kinds the kinds of requests, drawn with equal probability
   * @param deadlineMillis returns the deadline that the next request states (ms)
   */
  Callers(
      HttpClient http,
      List<HostProcess> hosts,
      int port,
      Random random,
      String runId,
      List<Kind> kinds,
      LongSupplier deadlineMillis) {
    this.http = http;
    this.hosts = hosts;
    this.port = port;
    this.random = random;
    this.runId = runId;
    this.kinds = List.copyOf(kinds);
    this.deadlineMillis = deadlineMillis;
  }

  /** Returns the results of the requests that have ended. */
  Queue<RequestResult> results() {
    return results;
  }

  /** Returns the number of requests that have not ended. */
  int inProgress() {
    return inProgress.get();
  }

  /** Sends one request of a random kind to a random host, without waiting for its response. */
  void send() {
    Kind kind = kinds.get(random.nextInt(kinds.size()));
    String id = runId + "-" + sentCount.incrementAndGet();
    HostProcess host = hosts.get(random.nextInt(hosts.size()));
    long deadline = deadlineMillis.getAsLong();
    Request request =
        http.newRequest("http://" + host.ip() + ":" + port)
            .path(kind.prefix() + "x?id=" + id)
            .method(HttpMethod.POST)
            .timeout(DEADLINE_MILLIS, TimeUnit.MILLISECONDS)
            .headers(
                headers ->
                    headers
                        .put("Host", "h.example")
                        .put(Headers.REQUEST_ID, id)
                        .put(Headers.DEADLINE, Long.toString(deadline)));
    if (kind.isStream()) {
      String model = "m/a" + random.nextInt(ADAPTERS);
      request.headers(
          headers ->
              headers
                  .put(Headers.MODEL, model)
                  .put(Headers.TOKEN_COUNTS, "100,20")
                  .put(Headers.PROMPT_PARTS, "aa:60,bb:40"));
    }
    request.body(new StringRequestContent("body of " + id));
    inProgress.incrementAndGet();
    long sentNanos = System.nanoTime();
    new CompletableResponseListener(request)
        .send()
        .whenComplete(
            (response, failure) -> {
              results.add(
                  failure != null || response == null
                      ? new RequestResult(
                          id,
                          kind,
                          0,
                          null,
                          String.valueOf(failure),
                          host.name(),
                          deadline,
                          sentNanos,
                          System.nanoTime())
                      : new RequestResult(
                          id,
                          kind,
                          response.getStatus(),
                          response.getContentAsString(),
                          "",
                          host.name(),
                          deadline,
                          sentNanos,
                          System.nanoTime()));
              inProgress.decrementAndGet();
            });
  }
}
