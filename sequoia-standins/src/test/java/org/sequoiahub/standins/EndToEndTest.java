package org.sequoiahub.standins;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.ContentResponse;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sequoiahub.platform.EngineClient;
import org.sequoiahub.platform.HttpClients;

class EndToEndTest {

  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static SingleHostPlatform host;

  @BeforeAll
  static void start() throws Exception {
    host = new SingleHostPlatform();
  }

  @AfterAll
  static void stop() throws Exception {
    host.close();
  }

  private static String text(ContentResponse response) throws Exception {
    return MAPPER.readTree(response.getContent()).path("choices").path(0).path("text").asText();
  }

  private static long startCount() {
    return host.engine.startCount();
  }

  private static String verdict(ContentResponse response) {
    return response.getHeaders().get("Sequoia-Verdict");
  }

  @Nested
  class Responses {

    @Test
    void plainResponseIsCompleteAndFromRequestedVersion() throws Exception {
      ContentResponse response =
          host.complete("{\"model\":\"booth@1\",\"prompt\":\"x\",\"max_tokens\":5}");
      assertThat(text(response)).isEqualTo(SingleHostPlatform.expectedText("booth@1", 5));
      assertThat(response.getHeaders().get("Sequoia-Adapter")).isEqualTo("booth@1");
    }

    @Test
    void trafficSplitSelectsVersionIfNoneIsRequested() throws Exception {
      ContentResponse response =
          host.complete("{\"model\":\"booth\",\"prompt\":\"x\",\"max_tokens\":2}");
      assertThat(text(response)).isEqualTo(SingleHostPlatform.expectedText("booth@2", 2));
    }

    @Test
    void streamedResponseEndsWithEndMarker() throws Exception {
      ContentResponse response =
          host.complete("{\"model\":\"soot\",\"prompt\":\"x\",\"max_tokens\":3,\"stream\":true}");
      assertThat(response.getContentAsString()).endsWith("data: [DONE]\n\n");
      assertThat(response.getContentAsString()).contains("[soot@1:3/3]");
    }
  }

  @Nested
  class BadInput {

    private void assertRefused(ContentResponse response, int status, String type) throws Exception {
      assertThat(response.getStatus()).isEqualTo(status);
      assertThat(verdict(response)).isEqualTo("not-run");
      JsonNode error = MAPPER.readTree(response.getContent()).path("error");
      assertThat(error.path("type").asText()).isEqualTo(type);
    }

    @Test
    void isRefusedAsNotRunAndReachesNoUpstream() throws Exception {
      final long before = startCount();
      assertRefused(host.complete("{\"model\":"), 400, "bad-body");
      assertRefused(host.complete("{\"model\":7,\"prompt\":\"x\"}"), 400, "bad-body");
      assertRefused(host.complete("{\"model\":\"soot\"}"), 400, "bad-body");
      assertRefused(host.complete("{\"model\":\"no one\",\"prompt\":\"x\"}"), 404, "bad-model");
      assertRefused(
          host.complete("{\"model\":\"nobody\",\"prompt\":\"x\"}"), 404, "unknown-adapter");
      assertRefused(
          host.complete("{\"model\":\"soot@9\",\"prompt\":\"x\"}"), 404, "unknown-version");
      assertRefused(host.complete("\"" + "x".repeat(5_000) + "\""), 413, "body-too-long");
      assertRefused(
          host.post(
              host.url("/services/bookings/slots"), "{}", Map.of("Sequoia-Operation", "mine")),
          400,
          "bad-operation-id");
      assertRefused(
          host.post(host.url("/services/none/x"), "{}", Map.of()), 404, "unknown-service");
      assertRefused(
          host.post(host.url("/v1/completions"), "{}", Map.of("Sequoia-Timeout-Ms", "soon")),
          400,
          "bad-timeout");
      assertThat(startCount()).isEqualTo(before);
    }

    @Test
    void oversizedHeaderIsRefused() throws Exception {
      ContentResponse response =
          host.post(host.url("/v1/completions"), "{}", Map.of("X-Bomb", "b".repeat(20_000)));
      assertRefused(response, 431, "bad-request");
    }
  }

  @Nested
  class Bookings {

    private String issueOperationId() throws Exception {
      ContentResponse withoutId =
          host.post(host.url("/services/bookings/slots"), "{\"booking\":\"none\"}", Map.of());
      assertThat(withoutId.getStatus()).isEqualTo(428);
      return withoutId.getHeaders().get("Sequoia-Operation");
    }

    private ContentResponse book(String name, String operation) throws Exception {
      return host.post(
          host.url("/services/bookings/slots"),
          "{\"booking\":\"" + name + "\"}",
          Map.of("Sequoia-Operation", operation));
    }

    @Test
    void repeatReturnsFirstResponse() throws Exception {
      String operation = issueOperationId();
      ContentResponse first = book("twice", operation);
      ContentResponse repeat = book("twice", operation);
      assertThat(first.getStatus()).isEqualTo(201);
      assertThat(repeat.getContentAsString()).isEqualTo(first.getContentAsString());
    }

    /**
     * Guards against a booking that runs twice. The upstream books but its response is lost, and
     * the caller repeats the call with the same operation id. A lost response must not be reported
     * as a call that did not run.
     */
    @Test
    void lostResponseMayHaveRunAndIsNeverRunAgain() throws Exception {
      String operation = issueOperationId();
      host.injectFaults(host.bookings.address(), "{\"drop_answers\":1}");
      assertThat(verdict(book("lost", operation))).isEqualTo("may-have-run");
      assertThat(verdict(book("lost", operation))).isEqualTo("may-have-run");
      JsonNode counters =
          MAPPER.readTree(
              host.http.GET("http://" + host.bookings.address() + "/counters").getContent());
      assertThat(counters.path("doubled").asInt()).isEqualTo(0);
    }

    @Test
    void idOfAnotherIncarnationMayHaveRun() throws Exception {
      ContentResponse response = book("old", "op1:host-1:00000000000000aa:1");
      assertThat(verdict(response)).isEqualTo("may-have-run");
    }
  }

  @Nested
  class InjectedEngineFaults {

    /**
     * Guards against returning a response from an adapter other than the requested one: the engine
     * reports another model name, and must not be trusted to have run the requested adapter.
     */
    @Test
    void responseFromAnotherAdapterIsAnError() throws Exception {
      host.injectFaults(host.engine.address(), "{\"answer_as\":\"other@1\"}");
      ContentResponse response = host.complete("{\"model\":\"soot\",\"prompt\":\"x\"}");
      host.injectFaults(host.engine.address(), "{\"answer_as\":\"\"}");
      assertThat(response.getStatus()).isEqualTo(502);
      assertThat(response.getContentAsString()).doesNotContain("other@1:");
    }

    /**
     * Guards against reporting {@code may-have-run} for a request that never started. The adapter
     * cannot be loaded, so the request is queued until its deadline passes. The failure arises if
     * the entry decides the verdict at the deadline by itself, without the dispatcher's report that
     * the request was still queued.
     */
    @Test
    void requestQueuedUntilItsDeadlineHasNotRun() throws Exception {
      host.injectFaults(host.engine.address(), "{\"load_failures\":100000}");
      host.put(
          "adapters/stuck",
          "{\"schema\":1,\"adapter\":\"stuck\",\"version\":\"1\",\"base_model\":\"m1\"}");
      ContentResponse response = completeStuckAdapter();
      for (int i = 0; response.getStatus() == 404 && i < 600; i++) {
        Thread.sleep(50);
        response = completeStuckAdapter();
      }
      host.injectFaults(host.engine.address(), "{\"load_failures\":0}");
      assertThat(response.getStatus()).isEqualTo(504);
      assertThat(verdict(response)).isEqualTo("not-run");
    }

    private ContentResponse completeStuckAdapter() throws Exception {
      return host.post(
          host.url("/v1/completions"),
          "{\"model\":\"stuck\",\"prompt\":\"x\"}",
          Map.of("Sequoia-Timeout-Ms", "1500"));
    }

    @Test
    void duplicateEventsAreDropped() throws Exception {
      host.injectFaults(host.engine.address(), "{\"duplicate\":true}");
      ContentResponse response =
          host.complete("{\"model\":\"soot\",\"prompt\":\"x\",\"max_tokens\":20}");
      host.injectFaults(host.engine.address(), "{\"duplicate\":false}");
      assertThat(text(response)).isEqualTo(SingleHostPlatform.expectedText("soot@1", 20));
    }

    /**
     * Guards against a stream that never ends although its engine has finished. The connection
     * becomes silent in mid-stream while new ones work. The failure arises if the silence is left
     * for the kernel to detect.
     */
    @Test
    void silentConnectionIsReplacedAndResponseIsComplete() throws Exception {
      final CompletableFuture<ContentResponse> answer =
          CompletableFuture.supplyAsync(
              () -> {
                try {
                  return host.complete("{\"model\":\"soot\",\"prompt\":\"x\",\"max_tokens\":150}");
                } catch (Exception e) {
                  throw new IllegalStateException(e);
                }
              });
      for (int i = 0; i < 3; i++) {
        Thread.sleep(60);
        host.injectFaults(host.engine.address(), "{\"silence\":true}");
      }
      assertThat(text(answer.get(60, TimeUnit.SECONDS)))
          .isEqualTo(SingleHostPlatform.expectedText("soot@1", 150));
    }

    /**
     * Guards against evicting an adapter that a running request uses. A cancellation overtakes the
     * start of its request: the engine does not know the request yet, responds, and then receives
     * it. The failure arises if any response to a cancellation counts as a confirmation.
     */
    @Test
    void cancelOfUnknownRequestIsNotConfirmed() throws Exception {
      var http = HttpClients.start();
      CompletableFuture<Boolean> confirmed = new CompletableFuture<>();
      new EngineClient(http)
          .cancel(host.engine.address(), "not-there-yet", 5_000, confirmed::complete);
      assertThat(confirmed.get(60, TimeUnit.SECONDS)).isFalse();
      http.stop();
    }
  }

  @Nested
  class Configuration {

    @Test
    void invalidRecordLeavesAcceptedRecordInForce() throws Exception {
      host.put("adapters/soot", "{\"schema\":7}");
      host.put(
          "adapters/later",
          "{\"schema\":1,\"adapter\":\"later\",\"version\":\"1\",\"base_model\":\"m1\"}");
      ContentResponse later = host.complete("{\"model\":\"later\",\"prompt\":\"x\"}");
      for (int i = 0; later.getStatus() == 404 && i < 600; i++) {
        Thread.sleep(50);
        later = host.complete("{\"model\":\"later\",\"prompt\":\"x\"}");
      }
      assertThat(later.getStatus()).isEqualTo(200);
      assertThat(host.complete("{\"model\":\"soot\",\"prompt\":\"x\"}").getStatus()).isEqualTo(200);
    }
  }

  @Nested
  class LeavingAndStopping {

    private ContentResponse complete() throws Exception {
      return host.complete("{\"model\":\"soot\",\"prompt\":\"x\",\"max_tokens\":2}");
    }

    private void awaitStatus(int status) throws Exception {
      for (int i = 0; i < 1_200 && complete().getStatus() != status; i++) {
        Thread.sleep(50);
      }
      assertThat(complete().getStatus()).isEqualTo(status);
    }

    /**
     * Guards against sending requests to a runner that is about to be shut down. The host list
     * reports the runner as leaving while the adapter is loaded there and calls continue. The
     * failure arises if the list of runners is copied when the adapter is placed.
     */
    @Test
    void leavingRunnerReceivesNoNewRequests() throws Exception {
      awaitStatus(200);
      host.platform.hostList().setState("runner-1", "leaving");
      awaitStatus(503);
      final long before = startCount();
      for (int i = 0; i < 20; i++) {
        assertThat(verdict(complete())).isEqualTo("not-run");
      }
      assertThat(startCount()).isEqualTo(before);
      host.platform.hostList().setState("runner-1", "live");
      awaitStatus(200);
    }

    /**
     * Guards against truncated responses when a host is replaced: the entry and the dispatcher are
     * stopped while a response is streaming, and must not close connections before the requests on
     * them have ended.
     */
    @Test
    void gracefulStopCompletesRunningResponses() throws Exception {
      SingleHostPlatform leaving = new SingleHostPlatform();
      leaving.complete("{\"model\":\"soot\",\"prompt\":\"x\",\"max_tokens\":1}");
      final long before = leaving.engine.startCount();
      final CompletableFuture<ContentResponse> answer =
          CompletableFuture.supplyAsync(
              () -> {
                try {
                  return leaving.complete(
                      "{\"model\":\"soot\",\"prompt\":\"x\",\"max_tokens\":200}");
                } catch (Exception e) {
                  throw new IllegalStateException(e);
                }
              });
      while (leaving.engine.startCount() == before) {
        Thread.sleep(5);
      }
      Thread stopping =
          new Thread(
              () -> {
                try {
                  leaving.dispatcher.close();
                } catch (Exception e) {
                  throw new IllegalStateException(e);
                }
              });
      stopping.start();
      leaving.entry.close();
      stopping.join();
      assertThat(text(answer.get(60, TimeUnit.SECONDS)))
          .isEqualTo(SingleHostPlatform.expectedText("soot@1", 200));
      leaving.watcher.close();
      leaving.http.stop();
      leaving.platform.close();
    }
  }
}
