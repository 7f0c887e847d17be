package org.sequoiahub.node;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.CompletableResponseListener;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.StringRequestContent;
import org.eclipse.jetty.http.HttpMethod;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.sequoiahub.usersplatform.Headers;
import org.sequoiahub.usersplatform.standin.StandinRunner;

/** Complete nodes on loopback addresses with a stand-in store and stand-in runners. */
@Timeout(value = 180, unit = TimeUnit.SECONDS)
class NodeTest {

  private LoopbackFleet fleet;

  @BeforeEach
  void open() throws Exception {
    fleet = new LoopbackFleet();
  }

  @AfterEach
  void close() throws Exception {
    fleet.close();
  }

  private void awaitReady(int number) throws InterruptedException {
    LoopbackFleet.await("host " + number + " to be ready", () -> fleet.isReady(number));
  }

  private ContentResponse get(int number, String path, String id) throws Exception {
    return fleet.request(number, path, id).send();
  }

  private static String sendRaw(String ip, int port, String text) throws Exception {
    return sendRaw(ip, port, text, true);
  }

  /** Sends a text and returns all that is received until the host closes the connection. */
  private static String sendRaw(String ip, int port, String text, boolean halfClose)
      throws Exception {
    try (Socket socket = new Socket(InetAddress.getByName(ip), port)) {
      socket.setSoTimeout(20_000);
      OutputStream out = socket.getOutputStream();
      out.write(text.getBytes(UTF_8));
      out.flush();
      if (halfClose) {
        socket.shutdownOutput();
      }
      InputStream in = socket.getInputStream();
      return new String(in.readAllBytes(), UTF_8);
    }
  }

  @Nested
  class PlainServices {
    private StandinRunner runner;

    @BeforeEach
    void start() throws Exception {
      fleet.configure(LoopbackFleet.route("/a/", "unsafe", "plain", false));
      runner = fleet.startRunner("i-1", "plain", "");
      fleet.startNode(1);
      awaitReady(1);
    }

    @Test
    void runnerResponseIsForwardedUnchanged() throws Exception {
      ContentResponse response =
          fleet
              .request(1, "/a/x//y?q=%2F", "q1")
              .method(HttpMethod.POST)
              .body(new StringRequestContent("booking"))
              .send();
      assertThat(response.getStatus()).isEqualTo(200);
      assertThat(response.getContentAsString()).isEqualTo("i-1 /a/x//y?q=%2F booking");
      assertThat(response.getHeaders().get(Headers.DIGEST)).isEqualTo("digest-of-i-1");
      assertThat(response.getHeaders().get(Headers.REQUEST_ID)).isEqualTo("q1");
    }

    @Test
    void requestWithoutMatchingRouteIsNotFound() throws Exception {
      assertThat(get(1, "/other/", "q1").getStatus()).isEqualTo(404);
    }

    /**
     * Guards against a 404 for a route of a configuration that this host could not receive: a
     * caller does not repeat its request after that.
     */
    @Test
    void requestWithoutMatchingRouteMayBeRepeatedWhileTheConfigurationIsNotConfirmed()
        throws Exception {
      fleet.store.setDown(true);
      LoopbackFleet.await("503 in place of 404", () -> status("/other/") == 503);
      ContentResponse response = get(1, "/other/", "q2");
      assertThat(response.getStatus()).isEqualTo(503);
      assertThat(response.getHeaders().get("Retry-After")).isEqualTo("0.3");
      assertThat(get(1, "/a/x", "q3").getStatus()).isEqualTo(200);
      fleet.store.setDown(false);
      LoopbackFleet.await("404 again", () -> status("/other/") == 404);
    }

    private int status(String path) {
      try {
        return get(1, path, "q1").getStatus();
      } catch (Exception e) {
        throw new AssertionError(e);
      }
    }

    @Test
    void bodyOverLimitReachesNoRunner() throws Exception {
      ContentResponse response =
          fleet
              .request(1, "/a/x", "q1")
              .method(HttpMethod.POST)
              .body(new StringRequestContent("x".repeat(100_001)))
              .send();
      assertThat(response.getStatus()).isEqualTo(413);
      assertThat(runner.runs()).isEmpty();
    }

    /**
     * Guards against a runner that runs a request that no caller sent, because bytes of one request
     * are parsed as the start of the next: a request states two lengths, has a body that contains
     * the text of another request and ends before its length, or is no HTTP request.
     */
    @Test
    void requestsCannotBeSmuggled() throws Exception {
      String head = "POST /a/x HTTP/1.1\r\nHost: h.example\r\n" + Headers.REQUEST_ID + ": q1\r\n";
      String hidden =
          "GET /a/hidden HTTP/1.1\r\nHost: h.example\r\n" + Headers.REQUEST_ID + ": q2\r\n\r\n";
      int port = fleet.callerPort();
      String twoLengths =
          head
              + "Content-Length: "
              + hidden.length()
              + "\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
              + hidden;
      sendRaw(LoopbackFleet.ip(1), port, twoLengths);
      sendRaw(LoopbackFleet.ip(1), port, head + "Content-Length: 500\r\n\r\n" + hidden);
      sendRaw(LoopbackFleet.ip(1), port, "GARBAGE\r\n\r\n" + hidden);
      // The response to a complete request shows that everything before it has been processed.
      assertThat(get(1, "/a/x", "last").getStatus()).isEqualTo(200);
      assertThat(runner.runs()).doesNotContainKey("q2");
    }

    @Test
    void headersOverLimitAreRefused() throws Exception {
      String request =
          "GET /a/x HTTP/1.1\r\nHost: h.example\r\nX-Long: " + "x".repeat(20_000) + "\r\n\r\n";
      assertThat(sendRaw(LoopbackFleet.ip(1), fleet.callerPort(), request)).contains(" 431 ");
    }

    @Test
    void drainingRunnerGetsNoRequests() throws Exception {
      final StandinRunner other = fleet.startRunner("i-2", "plain", "");
      fleet.publish(runner, "draining");
      LoopbackFleet.await(
          "three responses in a row from the other runner",
          () -> {
            try {
              boolean all = true;
              for (int i = 0; i < 3; i++) {
                all &= get(1, "/a/x", "w" + System.nanoTime()).getContentAsString().contains("i-2");
              }
              return all;
            } catch (Exception e) {
              return false;
            }
          });
      int runsBefore = runner.runs().size();
      for (int i = 0; i < 20; i++) {
        assertThat(get(1, "/a/x", "z" + i).getContentAsString()).startsWith("i-2");
      }
      assertThat(runner.runs()).hasSize(runsBefore);
      assertThat(other.runs().size()).isAtLeast(20);
    }
  }

  @Nested
  class WithoutConfiguration {
    @Test
    void requestsAreUnavailableWithRetryAfter() throws Exception {
      fleet.startNode(1);
      LoopbackFleet.await(
          "a response with status 503",
          () -> {
            try {
              return get(1, "/a/x", "q1").getStatus() == 503;
            } catch (Exception e) {
              return false;
            }
          });
      assertThat(get(1, "/a/x", "q2").getHeaders().get("Retry-After")).isNotNull();
      assertThat(fleet.isReady(1)).isFalse();
    }
  }

  @Nested
  class Models {
    private StandinRunner first;
    private StandinRunner second;

    @BeforeEach
    void start() throws Exception {
      fleet.configure(
          LoopbackFleet.route("/s/", "streaming", "llm", true),
          LoopbackFleet.route("/once/", "streaming", "llm", false));
      first = fleet.startRunner("i-1", "llm", "m");
      second = fleet.startRunner("i-2", "llm", "m");
      fleet.startNodes(3);
    }

    private CompletableFuture<ContentResponse> stream(
        int number, String prefix, String id, String adapter) {
      var request =
          fleet
              .request(number, prefix + "x", id)
              .method(HttpMethod.POST)
              .headers(
                  headers ->
                      headers
                          .put(Headers.MODEL, "m/" + adapter)
                          .put(Headers.TOKEN_COUNTS, "100,20")
                          .put(Headers.PROMPT_PARTS, "aa:60,bb:40"))
              .body(new StringRequestContent("prompt"));
      return new CompletableResponseListener(request).send();
    }

    private String events(int count) {
      StringBuilder events = new StringBuilder();
      for (int number = 1; number <= count; number++) {
        events.append("id: ").append(number).append("\ndata: words ").append(number).append("\n\n");
      }
      return events.toString();
    }

    private int runs(String id) {
      int sum = 0;
      for (StandinRunner runner : new StandinRunner[] {first, second}) {
        sum += runner.runs().containsKey(id) ? runner.runs().get(id).get() : 0;
      }
      return sum;
    }

    /**
     * Guards against orders sent without a lease or with wrong assumptions about what a runner
     * holds: three hosts receive requests for three times as many adapters as there are places. A
     * runner would crash because it is ordered to hold too many, or receive orders of two hosts.
     */
    @Test
    void adaptersAreLoadedByOneHolderWithinCapacity() throws Exception {
      for (int round = 0; round < 24; round++) {
        String id = "q" + round;
        ContentResponse response =
            stream(1 + round % 3, "/s/", id, "a" + round).get(60, TimeUnit.SECONDS);
        assertThat(response.getStatus()).isEqualTo(200);
        assertThat(response.getContentAsString()).isEqualTo(events(5));
        assertThat(runs(id)).isEqualTo(1);
      }
      for (StandinRunner runner : new StandinRunner[] {first, second}) {
        assertThat(runner.capacityViolations()).isEqualTo(0);
        assertThat(runner.orderHolders().stream().distinct().count()).isAtMost(1);
      }
    }

    /**
     * Guards against a request that is refused although another runner could serve it: a runner
     * refuses every request for an adapter that its reports list. The holdings that its holder
     * advertises make it look best each time, so the request would be sent to it until all its
     * attempts are used up.
     */
    @Test
    void requestRefusedTwiceIsSentToAnotherRunner() throws Exception {
      stream(1, "/s/", "warm", "a1").get(60, TimeUnit.SECONDS);
      StandinRunner refusing = first.runs().containsKey("warm") ? first : second;
      refusing.refuseModelRequests();
      ContentResponse response = stream(1, "/s/", "q1", "a1").get(60, TimeUnit.SECONDS);
      assertThat(response.getStatus()).isEqualTo(200);
      assertThat(runs("q1")).isEqualTo(1);
    }

    /**
     * Guards against a stream with missing or repeated events because it resumes at the wrong
     * event: both runners break every stream off after two events.
     */
    @Test
    void brokenStreamResumesAtAnotherRunner() throws Exception {
      stream(1, "/s/", "warm", "a1").get(60, TimeUnit.SECONDS);
      first.abortStreamsAfter(2);
      second.abortStreamsAfter(2);
      CompletableFuture<ContentResponse> future = stream(1, "/s/", "q1", "a1");
      LoopbackFleet.await("a second run of the request", () -> runs("q1") == 2);
      ContentResponse response = future.get(60, TimeUnit.SECONDS);
      assertThat(response.getContentAsString()).isEqualTo(events(5));
    }

    @Test
    void nonResumableStreamFailsVisibly() throws Exception {
      stream(1, "/once/", "warm", "a1").get(60, TimeUnit.SECONDS);
      first.abortStreamsAfter(2);
      second.abortStreamsAfter(2);
      CompletableFuture<ContentResponse> future = stream(1, "/once/", "q1", "a1");
      boolean failed =
          future.handle((response, failure) -> failure != null).get(60, TimeUnit.SECONDS);
      assertThat(failed).isTrue();
      assertThat(runs("q1")).isEqualTo(1);
    }

    /**
     * Guards against a runner that continues to work for a caller that is gone: the caller closes
     * its connection in the middle of a long stream, which a host does not notice if it reads
     * nothing until its response is complete.
     */
    @Test
    void closedCallerConnectionCancelsRun() throws Exception {
      stream(1, "/s/", "warm", "a1").get(60, TimeUnit.SECONDS);
      first.streamEvents(100_000, 20);
      second.streamEvents(100_000, 20);
      String request =
          "POST /s/x HTTP/1.1\r\nHost: h.example\r\n"
              + (Headers.REQUEST_ID + ": gone\r\n" + Headers.MODEL + ": m/a1\r\n")
              + (Headers.TOKEN_COUNTS + ": 100,20\r\nContent-Length: 0\r\n\r\n");
      try (Socket socket =
          new Socket(InetAddress.getByName(LoopbackFleet.ip(1)), fleet.callerPort())) {
        socket.getOutputStream().write(request.getBytes(UTF_8));
        LoopbackFleet.await("the run of the request", () -> runs("gone") == 1);
      }
      LoopbackFleet.await(
          "the cancellation of the run",
          () ->
              first.cancelledRequests().contains("gone")
                  || second.cancelledRequests().contains("gone"));
    }
  }

  @Nested
  class StreamsOnClosingConnections {
    /**
     * Guards against an incomplete stream that looks complete because only the close of its
     * connection marks its end: a host is shut down and asks callers to close their connections,
     * and a stream is still in transit when the process exits.
     */
    @Test
    void endWithLastChunk() throws Exception {
      fleet.configure(LoopbackFleet.route("/s/", "streaming", "llm", true));
      fleet.startRunner("i-1", "llm", "m");
      fleet.startNode(1);
      fleet.startNode(2);
      awaitReady(1);
      awaitReady(2);
      String request =
          String.join(
              "\r\n",
              "POST /s/x HTTP/1.1",
              "Host: h.example",
              "Connection: close",
              Headers.REQUEST_ID + ": q1",
              Headers.DEADLINE + ": 20000",
              Headers.MODEL + ": m/a1",
              Headers.TOKEN_COUNTS + ": 100,20",
              Headers.PROMPT_PARTS + ": aa:60,bb:40",
              "Content-Length: 0",
              "",
              "");
      String response = sendRaw(LoopbackFleet.ip(1), fleet.callerPort(), request, false);
      assertThat(response).startsWith("HTTP/1.1 200");
      assertThat(response).containsMatch("(?i)transfer-encoding: chunked");
      assertThat(response).endsWith("0\r\n\r\n");
    }
  }

  @Nested
  class Fleet {
    /**
     * Guards against a host that continues with an old configuration because it reads changes from
     * the store only: one host reads a change, and the store goes down before the others read it.
     */
    @Test
    void changeSpreadsWithoutTheStore() throws Exception {
      fleet.configure(LoopbackFleet.route("/a/", "safe", "plain", false));
      fleet.startRunner("i-1", "plain", "");
      fleet.startNode(1);
      awaitReady(1);
      fleet.configure(
          LoopbackFleet.route("/a/", "safe", "plain", false),
          LoopbackFleet.route("/b/", "safe", "plain", false));
      LoopbackFleet.await(
          "the change at host 1",
          () -> {
            try {
              return get(1, "/b/x", "q").getStatus() == 200;
            } catch (Exception e) {
              return false;
            }
          });
      fleet.store.setDown(true);
      fleet.startNode(2);
      LoopbackFleet.await(
          "the change at host 2, which never reached the store",
          () -> {
            try {
              return get(2, "/b/x", "q").getStatus() == 200;
            } catch (Exception e) {
              return false;
            }
          });
    }

    @Test
    void stoppingHostIsNoLongerAdvertised() throws Exception {
      fleet.configure(LoopbackFleet.route("/a/", "safe", "plain", false));
      fleet.startRunner("i-1", "plain", "");
      fleet.startNode(1);
      final Node leaving = fleet.startNode(2);
      awaitReady(1);
      awaitReady(2);
      String address = LoopbackFleet.ip(2) + ":" + fleet.callerPort();
      LoopbackFleet.await("host 1 to advertise host 2", () -> isAdvertised(1, address));
      Thread stop =
          new Thread(
              () -> {
                try {
                  leaving.stop();
                } catch (Exception e) {
                  throw new IllegalStateException(e);
                }
              });
      stop.start();
      LoopbackFleet.await("host 1 to advertise host 2 no longer", () -> !isAdvertised(1, address));
      stop.join();
    }

    private boolean isAdvertised(int asked, String address) {
      try {
        return fleet.advertisedAddresses(asked).contains(address);
      } catch (Exception e) {
        return false;
      }
    }

    @Test
    void compactedHistoryIsReadAgain() throws Exception {
      fleet.configure(LoopbackFleet.route("/a/", "safe", "plain", false));
      fleet.startRunner("i-1", "plain", "");
      fleet.startNode(1);
      awaitReady(1);
      fleet.store.compact();
      fleet.configure(LoopbackFleet.route("/c/", "safe", "plain", false));
      fleet.store.compact();
      LoopbackFleet.await(
          "the configuration after the gap",
          () -> {
            try {
              return get(1, "/c/x", "q").getStatus() == 200;
            } catch (Exception e) {
              return false;
            }
          });
    }
  }

  /**
   * Guards against a restarted runner at which all requests for its adapters are refused: the
   * runner crashes, restarts without adapters under the same id, and writes its entry. This happens
   * if its holdings, its number of orders and its lease are kept under the id alone.
   */
  @Nested
  class RestartWithSameId {
    private StandinRunner runner;

    @BeforeEach
    void start() throws Exception {
      fleet.configure(LoopbackFleet.route("/m/", "streaming", "llm", true));
      runner = fleet.startRunner("i-1", "llm", "m");
      fleet.startNode(1);
      fleet.startNode(2);
      awaitReady(1);
      awaitServed("first");
    }

    private void awaitServed(String name) throws InterruptedException {
      int[] number = {0};
      LoopbackFleet.await(name, () -> status(name + number[0]++) == 200);
    }

    @Test
    void adaptersAreLoadedAgain() throws Exception {
      runner.restart();
      fleet.publish(runner, "ready");
      // Requests are refused until the hosts have read the entry, so this waits for a successful
      // one.
      awaitServed("new");
      assertThat(runner.capacityViolations()).isEqualTo(0);
    }

    @Test
    void invalidEntryLeavesRunnerInUse() throws Exception {
      fleet.store.put("servers/i-1", "{\"service\":7,\"state\":\"asleep\"}");
      fleet.store.put("servers/ghost", "not JSON");
      fleet.publish(fleet.startRunner("i-2", "other", ""), "ready");
      assertThat(stream("q1").getStatus()).isEqualTo(200);
      assertThat(runner.runs()).containsKey("q1");
    }

    private int status(String id) {
      try {
        return stream(id).getStatus();
      } catch (Exception e) {
        return 0;
      }
    }

    private ContentResponse stream(String id) throws Exception {
      return fleet
          .request(1, "/m/x", id)
          .method(HttpMethod.POST)
          .headers(h -> h.put(Headers.MODEL, "m/a1").put(Headers.TOKEN_COUNTS, "10,5"))
          .send();
    }
  }
}
