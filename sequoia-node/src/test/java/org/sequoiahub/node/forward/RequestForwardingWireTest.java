package org.sequoiahub.node.forward;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.protobuf.ByteString;
import io.netty.channel.EventLoopGroup;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.eclipse.jetty.http.HttpFields;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sequoiahub.core.upstream.SoftwareVersion;
import org.sequoiahub.core.verdict.Verdict;
import org.sequoiahub.node.caller.CallerExchange;
import org.sequoiahub.node.caller.StubExchange;
import org.sequoiahub.schema.wire.Chunk;
import org.sequoiahub.schema.wire.Envelope;
import org.sequoiahub.schema.wire.Outcome;
import org.sequoiahub.schema.wire.RunVerdict;
import org.sequoiahub.usersplatform.Headers;
import org.sequoiahub.wire.WireClients;
import org.sequoiahub.wire.WireConnection;
import org.sequoiahub.wire.WireServer;
import org.sequoiahub.wire.WireThreads;

/** Passes requests on between two hosts over loopback. */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class RequestForwardingWireTest {

  private static final String LOOPBACK = "127.0.0.1";
  private static final SoftwareVersion VERSION = SoftwareVersion.of("v1.1");
  private static final long IDLE_TIMEOUT_MILLIS = 10_000;
  private static final long REMAINING_MILLIS = 700;

  private final EventLoopGroup network = WireThreads.singleThread("test");
  private final WireClients clients = new WireClients(network, IDLE_TIMEOUT_MILLIS);
  private final BlockingQueue<CallerExchange> received = new ArrayBlockingQueue<>(8);
  private final Recorder recorder = new Recorder();
  private WireServer server;
  private RequestForwarder forwarder;

  /** Answers requests in place of the other host; null for its own code. */
  private volatile @Nullable BiConsumer<WireConnection, Long> script;

  @BeforeEach
  void open() throws Exception {
    ForwardedRequests requests = new ForwardedRequests(received::add);
    server =
        WireServer.open(
            network,
            LOOPBACK,
            0,
            IDLE_TIMEOUT_MILLIS,
            new WireServer.Handler() {
              @Override
              public void onMessage(WireConnection connection, Envelope message) {
                if (script != null && message.hasForwarded()) {
                  script.accept(connection, message.getCall());
                } else {
                  requests.onMessage(connection, message);
                }
              }

              @Override
              public void onClosed(WireConnection connection) {
                requests.onClosed(connection);
              }
            });
    forwarder = new WireRequestForwarder(clients, server.port());
  }

  @AfterEach
  void close() {
    clients.close();
    server.close();
    network.shutdownGracefully();
  }

  /** Records the response. */
  private static final class Recorder implements ForwardListener {
    final List<String> events = new ArrayList<>();
    final List<SoftwareVersion> versions = new ArrayList<>();
    final BlockingQueue<ForwardOutcome> outcomes = new ArrayBlockingQueue<>(2);

    @Override
    public synchronized void streamStarted(
        int status, HttpFields headers, @Nullable SoftwareVersion version) {
      if (version != null) {
        versions.add(version);
      }
      events.add(status + " " + headers.get("X-Test"));
    }

    @Override
    public synchronized void streamContent(ByteBuffer content) {
      events.add(UTF_8.decode(content).toString());
    }

    @Override
    public void ended(ForwardOutcome outcome) {
      outcomes.add(outcome);
    }

    ForwardOutcome awaitOutcome() throws InterruptedException {
      ForwardOutcome outcome = outcomes.poll(30, TimeUnit.SECONDS);
      assertThat(outcome).isNotNull();
      return outcome;
    }
  }

  /** A caller's request with two headers of the same name. */
  private static CallerExchange request() {
    HttpFields headers =
        HttpFields.build()
            .add(Headers.REQUEST_ID, "r-1")
            .add(Headers.DEADLINE, "5000")
            .add("X-Twice", "a")
            .add("X-Twice", "b");
    return new StubExchange("POST", "/p/q?r=1", headers, new byte[] {0, 1, -1});
  }

  private RequestForwarder.Forwarded forward(int priorRuns, String lastEventId) {
    return forwarder.forward(
        request(),
        LOOPBACK,
        REMAINING_MILLIS,
        priorRuns,
        lastEventId,
        lastEventId.isEmpty() ? null : VERSION,
        recorder);
  }

  private CallerExchange awaitReceived() throws InterruptedException {
    CallerExchange exchange = received.poll(30, TimeUnit.SECONDS);
    assertThat(exchange).isNotNull();
    return exchange;
  }

  private static HttpFields runnerHeaders() {
    return HttpFields.build().add(Headers.DIGEST, "d").add("X-Test", "yes");
  }

  @Nested
  class Requests {
    @Test
    void arriveUnchangedWithTheTimeThatIsLeft() throws Exception {
      forward(1, "7");
      CallerExchange exchange = awaitReceived();
      assertThat(exchange.method()).isEqualTo("POST");
      assertThat(exchange.pathAndQuery()).isEqualTo("/p/q?r=1");
      assertThat(exchange.path()).isEqualTo("/p/q");
      assertThat(exchange.host()).isEqualTo("h.example");
      assertThat(exchange.callerIp()).isEqualTo("10.9.9.9");
      assertThat(exchange.body()).isEqualTo(new byte[] {0, 1, -1});
      assertThat(exchange.headers().get(Headers.REQUEST_ID)).isEqualTo("r-1");
      assertThat(exchange.headers().getValuesList("X-Twice")).containsExactly("a", "b").inOrder();
      assertThat(exchange.headers().getValuesList(Headers.DEADLINE)).containsExactly("700");
      assertThat(exchange.headers().get(Headers.LAST_EVENT_ID)).isEqualTo("7");
      assertThat(exchange.forwarding())
          .isEqualTo(new CallerExchange.Forwarding(LOOPBACK, 1, VERSION));
    }

    @Test
    void cancellationReachesTheOtherHost() throws Exception {
      RequestForwarder.Forwarded forwarded = forward(0, "");
      CallerExchange exchange = awaitReceived();
      assertThat(exchange.isCallerDisconnected()).isFalse();
      forwarded.cancel();
      while (!exchange.isCallerDisconnected()) {
        TimeUnit.MILLISECONDS.sleep(5);
      }
      exchange.respond(200, runnerHeaders(), "late");
      assertThat(recorder.outcomes).isEmpty();
    }

    @Test
    void lossOfTheConnectionCancelsThem() throws Exception {
      forward(0, "");
      CallerExchange exchange = awaitReceived();
      clients.close();
      while (!exchange.isCallerDisconnected()) {
        TimeUnit.MILLISECONDS.sleep(5);
      }
      assertThat(recorder.awaitOutcome())
          .isEqualTo(new ForwardOutcome.Lost("the connection to the other host was lost", true));
    }
  }

  @Nested
  class Responses {
    private ForwardOutcome.Answered answer(int status, HttpFields headers) throws Exception {
      return answerWith(status, exchange -> exchange.respond(status, headers, new byte[] {5, 6}));
    }

    private ForwardOutcome.Answered reject(int status, HttpFields headers) throws Exception {
      Verdict.NotRun evidence = new Verdict.NotRun("never-sent", "sent to no runner", 0);
      return answerWith(
          status, exchange -> exchange.reject(evidence, status, headers, new byte[] {5, 6}));
    }

    private ForwardOutcome.Answered answerWith(int status, Consumer<CallerExchange> response)
        throws Exception {
      forward(0, "");
      response.accept(awaitReceived());
      ForwardOutcome outcome = recorder.awaitOutcome();
      assertThat(outcome).isInstanceOf(ForwardOutcome.Answered.class);
      ForwardOutcome.Answered answered = (ForwardOutcome.Answered) outcome;
      assertThat(answered.status()).isEqualTo(status);
      assertThat(answered.body()).isEqualTo(new byte[] {5, 6});
      return answered;
    }

    @Test
    void runnersResponseHasRun() throws Exception {
      ForwardOutcome.Answered answered = answer(200, runnerHeaders());
      assertThat(answered.notRun()).isFalse();
      assertThat(answered.headers().get("X-Test")).isEqualTo("yes");
    }

    @Test
    void runnersRejectionHasRun() throws Exception {
      assertThat(answer(404, runnerHeaders()).notRun()).isFalse();
    }

    @Test
    void hostsRejectionHasNotRun() throws Exception {
      assertThat(reject(503, HttpFields.build().add("Retry-After", "0.5")).notRun()).isTrue();
    }

    @Test
    void hostsMissingRouteHasNotRun() throws Exception {
      assertThat(reject(404, HttpFields.EMPTY).notRun()).isTrue();
    }

    /** Guards against a status that is taken for the statement that a request has not run. */
    @ParameterizedTest
    @ValueSource(ints = {400, 404, 408, 421, 429, 503})
    void statusWithoutEvidenceMayHaveRun(int status) throws Exception {
      assertThat(answer(status, HttpFields.EMPTY).notRun()).isFalse();
    }

    @Test
    void hostsFailureMayHaveRun() throws Exception {
      assertThat(answer(502, HttpFields.EMPTY).notRun()).isFalse();
    }
  }

  @Nested
  class Streams {
    @Test
    void arriveInOrderWithTheirEnd() throws Exception {
      forward(0, "");
      CallerExchange exchange = awaitReceived();
      exchange.originatesAt(VERSION);
      exchange.start(200, runnerHeaders());
      List<String> expected = new ArrayList<>(List.of("200 yes"));
      for (int number = 0; number < 500; number++) {
        assertThat(exchange.writeChunk(ByteBuffer.wrap(("e" + number).getBytes(UTF_8)))).isTrue();
        expected.add("e" + number);
      }
      exchange.complete();
      assertThat(recorder.awaitOutcome()).isEqualTo(new ForwardOutcome.StreamCompleted());
      assertThat(recorder.events).isEqualTo(expected);
      assertThat(recorder.versions).containsExactly(VERSION);
    }

    /** Guards against a response with a piece missing that is framed as complete. */
    @ParameterizedTest
    @ValueSource(ints = {2, 3})
    void streamWithMissingPieceIsLost(int chunks) throws Exception {
      script =
          (connection, call) -> {
            connection.send(
                call,
                Envelope.newBuilder().setHead(HeaderFields.head(200, runnerHeaders(), false)));
            for (int number : new int[] {1, 3}) {
              Chunk.Builder chunk =
                  Chunk.newBuilder()
                      .setSequence(number)
                      .setData(ByteString.copyFromUtf8("e" + number));
              connection.send(call, Envelope.newBuilder().setChunk(chunk));
            }
            Outcome.Builder outcome =
                Outcome.newBuilder().setComplete(true).setVerdict(RunVerdict.RAN).setChunks(chunks);
            connection.send(call, Envelope.newBuilder().setOutcome(outcome));
          };
      forward(0, "");
      assertThat(recorder.awaitOutcome())
          .isEqualTo(new ForwardOutcome.Lost("the other host ended the response early", true));
      assertThat(recorder.events).containsExactly("200 yes", "e1").inOrder();
    }

    @Test
    void abortedStreamIsLost() throws Exception {
      forward(0, "");
      CallerExchange exchange = awaitReceived();
      exchange.start(200, runnerHeaders());
      exchange.abort("the runner failed");
      assertThat(recorder.awaitOutcome())
          .isEqualTo(new ForwardOutcome.Lost("the other host ended the response early", true));
    }
  }

  @Nested
  class Hosts {
    @Test
    void hostThatCannotBeReachedHasNotRunTheRequest() throws Exception {
      server.close();
      forward(0, "");
      assertThat(recorder.awaitOutcome())
          .isEqualTo(new ForwardOutcome.Lost("the connection to the other host was lost", false));
    }
  }

  /** The connection is closed after less time without messages than a stream takes. */
  @Nested
  class IdleConnections {

    private static final long SHORT_TIMEOUT_MILLIS = 300;
    private static final int EVENTS = 40;

    private WireClients shortClients;
    private WireServer shortServer;

    @BeforeEach
    void open() throws Exception {
      ForwardedRequests requests = new ForwardedRequests(received::add);
      shortServer =
          WireServer.open(
              network,
              LOOPBACK,
              0,
              SHORT_TIMEOUT_MILLIS,
              new WireServer.Handler() {
                @Override
                public void onMessage(WireConnection connection, Envelope message) {
                  requests.onMessage(connection, message);
                }

                @Override
                public void onClosed(WireConnection connection) {
                  requests.onClosed(connection);
                }
              });
      shortClients = new WireClients(network, SHORT_TIMEOUT_MILLIS);
      forwarder = new WireRequestForwarder(shortClients, shortServer.port());
    }

    @AfterEach
    void close() {
      shortClients.close();
      shortServer.close();
    }

    /** Guards against a server that closes a connection on which only it has something to send. */
    @ParameterizedTest
    @ValueSource(longs = {SHORT_TIMEOUT_MILLIS / 6, 2 * SHORT_TIMEOUT_MILLIS})
    void streamIsNotEndedWhateverItsPauses(long pauseMillis) throws Exception {
      forward(0, "");
      CallerExchange exchange = awaitReceived();
      exchange.start(200, runnerHeaders());
      int events = (int) (EVENTS * SHORT_TIMEOUT_MILLIS / 6 / pauseMillis);
      for (int number = 0; number < events; number++) {
        TimeUnit.MILLISECONDS.sleep(pauseMillis);
        exchange.writeChunk(ByteBuffer.wrap(("e" + number).getBytes(UTF_8)));
      }
      exchange.complete();
      assertThat(recorder.awaitOutcome()).isEqualTo(new ForwardOutcome.StreamCompleted());
      assertThat(recorder.events).hasSize(1 + events);
    }
  }
}
