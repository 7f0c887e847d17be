package org.sequoiahub.node.upstream;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.http.HttpFields;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sequoiahub.core.routing.RepeatPolicy;
import org.sequoiahub.usersplatform.Headers;

/** Guards against runners whose unfinished responses together exhaust the memory of a host. */
class ResponseMemoryTest {

  private static final int MAX_BYTES = 1 << 20;
  private static final int SMALL_BYTES = 64 << 10;

  @Nested
  class Counting {
    private final ResponseMemory memory = new ResponseMemory(MAX_BYTES);

    @Test
    void smallResponsesNeedNoneOfIt() {
      assertThat(memory.open().grow(MAX_BYTES)).isTrue();
      assertThat(memory.open().grow(SMALL_BYTES)).isTrue();
      assertThat(memory.open().grow(SMALL_BYTES + 1)).isFalse();
    }

    @Test
    void isGivenBackOnce() {
      ResponseMemory.Share first = memory.open();
      assertThat(first.grow(SMALL_BYTES)).isTrue();
      assertThat(first.grow(MAX_BYTES - SMALL_BYTES)).isTrue();
      ResponseMemory.Share second = memory.open();
      assertThat(second.grow(MAX_BYTES)).isFalse();
      first.close();
      first.close();
      assertThat(first.grow(1)).isFalse();
      assertThat(second.grow(MAX_BYTES)).isTrue();
      assertThat(memory.open().grow(MAX_BYTES)).isFalse();
    }
  }

  @Nested
  class UnfinishedResponses {
    private static final String HEAD =
        "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n" + Headers.DIGEST + ": s\r\nContent-Length: ";
    private static final int SENT_BYTES = 900_000;
    private static final int RESPONSES = 4;
    private static final long TIMEOUT_SECONDS = 20;

    private HttpClient http;
    private UpstreamClient client;

    @BeforeEach
    void start() throws Exception {
      http = UpstreamClient.start();
      client = new UpstreamClient(http, System::currentTimeMillis, new ResponseMemory(MAX_BYTES));
    }

    @AfterEach
    void stop() throws Exception {
      http.stop();
    }

    private AttemptRecorder send(ScriptedRunner runner, String path) {
      HttpFields headers = HttpFields.build().add("Request-Id", "1").add("Host", "h.example");
      AttemptRecorder recorder = new AttemptRecorder();
      client.start(
          runner.entry(),
          "GET",
          path,
          "1",
          headers,
          new byte[0],
          RepeatPolicy.IDEMPOTENT,
          recorder);
      return recorder;
    }

    @Test
    void areGivenUpBeyondTheBoundAndSmallOnesAreReceived() throws Exception {
      CountDownLatch end = new CountDownLatch(1);
      try (ScriptedRunner runner =
          new ScriptedRunner(
              (number, connection, out) -> {
                if (number > RESPONSES) {
                  ScriptedRunner.write(out, HEAD + "2\r\n\r\nab");
                  return;
                }
                ScriptedRunner.write(out, HEAD + (8 << 20) + "\r\n\r\n");
                out.write(new byte[SENT_BYTES]);
                end.await();
              })) {
        List<AttemptRecorder> unfinished = new ArrayList<>();
        for (int i = 0; i < RESPONSES; i++) {
          unfinished.add(send(runner, "/x"));
        }
        long lost = 0;
        long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
        while (lost < RESPONSES - 1 && System.nanoTime() < endNanos) {
          TimeUnit.MILLISECONDS.sleep(5);
          lost = unfinished.stream().filter(AttemptRecorder::hasEnded).count();
        }
        assertThat(lost).isAtLeast(RESPONSES - 1);
        assertThat(send(runner, "/small").awaitOutcome()).isInstanceOf(Outcome.Answered.class);
        end.countDown();
      }
    }
  }
}
