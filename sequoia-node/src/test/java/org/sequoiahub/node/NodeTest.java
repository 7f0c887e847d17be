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

/** Whole nodes over loopback, before a stand-in store and stand-in runners. */
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

  private void ready(int number) throws InterruptedException {
    LoopbackFleet.await("host " + number + " ready", () -> fleet.isReady(number));
  }

  private ContentResponse get(int number, String path, String id) throws Exception {
    return fleet.request(number, path, id).send();
  }

  private static String raw(String ip, int port, String text) throws Exception {
    return raw(ip, port, text, true);
  }

  /** Sends bytes and returns all that comes until the host closes the connection. */
  private static String raw(String ip, int port, String text, boolean halfClose) throws Exception {
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
      ready(1);
    }

    @Test
    void theRunnersAnswerComesUnchanged() throws Exception {
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
    void noRouteIsSaidWithConfigurationInHandOnly() throws Exception {
      assertThat(get(1, "/other/", "q1").getStatus()).isEqualTo(404);
    }

    @Test
    void bodyOverTheLimitReachesNoRunner() throws Exception {
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
     * Symptom: a runner runs a request that no caller sent.
     *
     * <p>Events: a request has two lengths, or a body that holds the text of another request, or
     * ends before its length.
     *
     * <p>Cause looked for: bytes of one request taken for the start of the next.
     */
    @Test
    void nothingIsSmuggled() throws Exception {
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
      raw(LoopbackFleet.ip(1), port, twoLengths);
      raw(LoopbackFleet.ip(1), port, head + "Content-Length: 500\r\n\r\n" + hidden);
      raw(LoopbackFleet.ip(1), port, "GARBAGE\r\n\r\n" + hidden);
      // A whole request after them shows that everything before it has been dealt with.
      assertThat(get(1, "/a/x", "last").getStatus()).isEqualTo(200);
      assertThat(runner.runs()).doesNotContainKey("q2");
    }

    @Test
    void headersOverTheLimitAreRefused() throws Exception {
      String request =
          "GET /a/x HTTP/1.1\r\nHost: h.example\r\nX-Long: " + "x".repeat(20_000) + "\r\n\r\n";
      assertThat(raw(LoopbackFleet.ip(1), fleet.callerPort(), request)).contains(" 431 ");
    }

    @Test
    void leavingRunnerGetsNoMore() throws Exception {
      final StandinRunner other = fleet.startRunner("i-2", "plain", "");
      fleet.publish(runner, "draining");
      LoopbackFleet.await(
          "three answers in a row from the other",
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
      int before = runner.runs().size();
      for (int i = 0; i < 20; i++) {
        assertThat(get(1, "/a/x", "z" + i).getContentAsString()).startsWith("i-2");
      }
      assertThat(runner.runs()).hasSize(before);
      assertThat(other.runs().size()).isAtLeast(20);
    }
  }

  @Nested
  class WithoutConfiguration {
    @Test
    void requestsAreRefusedAsNotRun() throws Exception {
      fleet.startNode(1);
      LoopbackFleet.await(
          "an answer",
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
     * Symptom: a runner crashes because it was ordered to hold too much, or two hosts order it.
     *
     * <p>Events: requests for three times as many adapters as there are places come to three hosts.
     *
     * <p>Cause looked for: an order given without the right to, or on a wrong account of a runner.
     */
    @Test
    void adaptersAreLoadedByOneHolderWithinThePlaces() throws Exception {
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
     * Symptom: a request is refused although another runner could have served it.
     *
     * <p>Events: a runner refuses each request for an adapter that its reports show.
     *
     * <p>Cause: the request is offered to that runner until all its sends are used up, as what its
     * holder tells of it makes it look best each time.
     */
    @Test
    void requestRefusedTwiceGoesElsewhere() throws Exception {
      stream(1, "/s/", "warm", "a1").get(60, TimeUnit.SECONDS);
      StandinRunner refusing = first.runs().containsKey("warm") ? first : second;
      refusing.refuseModelRequests();
      ContentResponse response = stream(1, "/s/", "q1", "a1").get(60, TimeUnit.SECONDS);
      assertThat(response.getStatus()).isEqualTo(200);
      assertThat(runs("q1")).isEqualTo(1);
    }

    /**
     * Symptom: a call sheet with lines missing or doubled after a runner failed.
     *
     * <p>Events: both runners break every stream off after two events.
     *
     * <p>Cause looked for: a continuation that starts at the wrong event.
     */
    @Test
    void brokenStreamGoesOnElsewhere() throws Exception {
      stream(1, "/s/", "warm", "a1").get(60, TimeUnit.SECONDS);
      first.abortStreamsAfter(2);
      second.abortStreamsAfter(2);
      CompletableFuture<ContentResponse> answer = stream(1, "/s/", "q1", "a1");
      LoopbackFleet.await("a second run", () -> runs("q1") == 2);
      ContentResponse response = answer.get(60, TimeUnit.SECONDS);
      assertThat(response.getContentAsString()).isEqualTo(events(5));
    }

    @Test
    void streamThatRunsOnceIsVisiblyBroken() throws Exception {
      stream(1, "/once/", "warm", "a1").get(60, TimeUnit.SECONDS);
      first.abortStreamsAfter(2);
      second.abortStreamsAfter(2);
      CompletableFuture<ContentResponse> answer = stream(1, "/once/", "q1", "a1");
      boolean failed =
          answer.handle((response, failure) -> failure != null).get(60, TimeUnit.SECONDS);
      assertThat(failed).isTrue();
      assertThat(runs("q1")).isEqualTo(1);
    }

    /**
     * Symptom: a runner works on for a caller that has long hung up.
     *
     * <p>Events: the caller closes its connection in the middle of a long stream.
     *
     * <p>Cause looked for: a server that reads nothing until its answer is complete.
     */
    @Test
    void callerThatLeavesIsNoticed() throws Exception {
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
        LoopbackFleet.await("the run", () -> runs("gone") == 1);
      }
      LoopbackFleet.await(
          "the runner to be told",
          () ->
              first.cancelledRequests().contains("gone")
                  || second.cancelledRequests().contains("gone"));
    }
  }

  @Nested
  class StreamsOnClosingConnections {
    /**
     * Symptom: half a stream is taken for a whole one.
     *
     * <p>Events: a host is asked to stop and tells callers to close their connections; a stream is
     * still on its way when the process ends.
     *
     * <p>Cause: the stream's end was marked by the end of its connection only.
     */
    @Test
    void haveAnEndMarkOfTheirOwn() throws Exception {
      fleet.configure(LoopbackFleet.route("/s/", "streaming", "llm", true));
      fleet.startRunner("i-1", "llm", "m");
      fleet.startNode(1);
      fleet.startNode(2);
      ready(1);
      ready(2);
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
      String answer = raw(LoopbackFleet.ip(1), fleet.callerPort(), request, false);
      assertThat(answer).startsWith("HTTP/1.1 200");
      assertThat(answer).containsMatch("(?i)transfer-encoding: chunked");
      assertThat(answer).endsWith("0\r\n\r\n");
    }
  }

  @Nested
  class Fleet {
    /**
     * Symptom: one host goes on with an old configuration.
     *
     * <p>Events: a change is read by one host; the store goes down before the others read it.
     *
     * <p>Cause looked for: hosts that learn from the store alone.
     */
    @Test
    void changeSpreadsWithoutTheStore() throws Exception {
      fleet.configure(LoopbackFleet.route("/a/", "safe", "plain", false));
      fleet.startRunner("i-1", "plain", "");
      fleet.startNode(1);
      ready(1);
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
    void hostThatStopsLeavesTheAddressesAtOnce() throws Exception {
      fleet.configure(LoopbackFleet.route("/a/", "safe", "plain", false));
      fleet.startRunner("i-1", "plain", "");
      fleet.startNode(1);
      final Node leaving = fleet.startNode(2);
      ready(1);
      ready(2);
      String address = LoopbackFleet.ip(2) + ":" + fleet.callerPort();
      LoopbackFleet.await("host 2 named by host 1", () -> named(1, address));
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
      LoopbackFleet.await("host 2 no longer named", () -> !named(1, address));
      stop.join();
    }

    private boolean named(int asked, String address) {
      try {
        return fleet.addresses(asked).contains(address);
      } catch (Exception e) {
        return false;
      }
    }

    @Test
    void lostHistoryIsReadAnew() throws Exception {
      fleet.configure(LoopbackFleet.route("/a/", "safe", "plain", false));
      fleet.startRunner("i-1", "plain", "");
      fleet.startNode(1);
      ready(1);
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
   * Symptom: after a runner's restart all requests for its adapters are refused there.
   *
   * <p>Events: a runner crashes, starts again under its id with nothing in it, and writes its
   * entry.
   *
   * <p>Cause: what it held, its count of orders and its lease were kept under the id alone.
   */
  @Nested
  class RestartUnderTheSameId {
    private StandinRunner runner;

    @BeforeEach
    void start() throws Exception {
      fleet.configure(LoopbackFleet.route("/m/", "streaming", "llm", true));
      runner = fleet.startRunner("i-1", "llm", "m");
      fleet.startNode(1);
      fleet.startNode(2);
      ready(1);
      served("first");
    }

    private void served(String name) throws InterruptedException {
      int[] number = {0};
      LoopbackFleet.await(name, () -> status(name + number[0]++) == 200);
    }

    @Test
    void adaptersAreBroughtAgain() throws Exception {
      runner.restart();
      fleet.publish(runner, "ready");
      // Until the entry is read requests are refused; the answer that counts is the one that comes.
      served("new");
      assertThat(runner.capacityViolations()).isEqualTo(0);
    }

    @Test
    void entryOfAnotherWriterLeavesTheRunnerInUse() throws Exception {
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
