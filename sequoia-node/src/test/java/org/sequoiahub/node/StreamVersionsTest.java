package org.sequoiahub.node;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.sequoiahub.usersplatform.Headers;
import org.sequoiahub.usersplatform.standin.StandinRunner;
import org.sequoiahub.usersplatform.standin.StandinRunner.Cut;

/** Guards against streams that go on at a runner of another software version. */
@Timeout(value = 180, unit = TimeUnit.SECONDS)
class StreamVersionsTest {

  private static final int HOSTS = 3;
  private static final int EVENTS = 5;
  private static final int ROUNDS = 12;
  private static final Pattern EVENT = Pattern.compile("data: words (\\d)(?: of (\\S+))?");

  private LoopbackFleet fleet;
  private final List<StandinRunner> runners = new ArrayList<>();

  @BeforeEach
  void open() throws Exception {
    fleet = new LoopbackFleet();
    fleet.configure(LoopbackFleet.route("/s/", "streaming", "llm", true));
  }

  @AfterEach
  void close() throws Exception {
    fleet.close();
  }

  private void startRunners(String... versions) throws Exception {
    for (String version : versions) {
      runners.add(fleet.startRunner("i-" + runners.size(), "llm", "m", version));
    }
    fleet.startNodes(HOSTS);
  }

  private void cutAll(int events, Cut cut) {
    runners.forEach(runner -> runner.cutStreamsAfter(events, cut));
  }

  /**
   * The part of a stream that a caller received.
   *
   * @param events the numbers of the events
   * @param versions the versions of the runners that made them
   */
  private record Received(String text, List<Integer> events, TreeSet<String> versions) {

    static Received of(String text) {
      List<Integer> events = new ArrayList<>();
      TreeSet<String> versions = new TreeSet<>();
      Matcher event = EVENT.matcher(text);
      while (event.find()) {
        events.add(Integer.parseInt(event.group(1)));
        versions.add(event.group(2) == null ? StandinRunner.FIRST_VERSION : event.group(2));
      }
      return new Received(text, events, versions);
    }

    int status() {
      return Integer.parseInt(text.substring("HTTP/1.1 ".length(), "HTTP/1.1 200".length()));
    }

    String lastEvent() {
      return events.isEmpty() ? "" : Integer.toString(events.get(events.size() - 1));
    }
  }

  private Received send(int host, String id, String... headers) throws IOException {
    StringBuilder head = new StringBuilder("POST /s/x HTTP/1.1\r\nHost: h.example\r\n");
    head.append(Headers.REQUEST_ID).append(": ").append(id).append("\r\n");
    head.append(Headers.DEADLINE).append(": 15000\r\n");
    head.append(Headers.MODEL).append(": m\r\n");
    head.append(Headers.TOKEN_COUNTS).append(": 100,20\r\n");
    for (String header : headers) {
      head.append(header).append("\r\n");
    }
    head.append("Content-Length: 1\r\nConnection: close\r\n\r\nx");
    return Received.of(
        RawCaller.send(LoopbackFleet.ip(host), fleet.callerPort(), head.toString()).text());
  }

  /** Takes a stream up that was broken off. */
  private Received takeUp(int host, String id, Received begun) throws IOException {
    return send(host, id + "-2", "Last-Event-Id: " + begun.lastEvent(), "Resumes: " + id);
  }

  @Test
  void streamIsNotResumedAtAnotherVersion() throws Exception {
    startRunners("v1", "v1.1");
    runners.get(0).cutStreamsAfter(2, Cut.RESET_INSIDE_EVENT);
    runners.get(1).cutStreamsAfter(EVENTS - 1, Cut.RESET_INSIDE_EVENT);
    for (int round = 0; round < ROUNDS; round++) {
      Received received = send(1 + round % HOSTS, "q" + round);
      assertThat(received.versions().size()).isAtMost(1);
    }
  }

  @Test
  void streamIsResumedAtTheSameVersion() throws Exception {
    startRunners("v1", "v1.1", "v1", "v1.1");
    int whole = 0;
    for (int round = 0; round < ROUNDS; round++) {
      int events = 1 + round % (EVENTS - 1);
      cutAll(events, Cut.RESET_INSIDE_EVENT);
      String id = "q" + round;
      Received begun = send(1 + round % HOSTS, id);
      cutAll(EVENTS, Cut.NONE);
      assertWithMessage(begun.text()).that(begun.versions()).hasSize(1);
      Received goesOn = takeUp(1 + (round + 1) % HOSTS, id, begun);
      whole += goesOn.lastEvent().equals(Integer.toString(EVENTS)) ? 1 : 0;
      TreeSet<String> versions = new TreeSet<>(begun.versions());
      versions.addAll(goesOn.versions());
      assertWithMessage("%s, then %s", begun.text(), goesOn.text()).that(versions).hasSize(1);
    }
    assertThat(whole).isEqualTo(ROUNDS);
  }

  @Test
  void streamOfUnknownOriginIsRefusedWhileVersionsDiffer() throws Exception {
    startRunners("v1", "v1.1");
    for (String resumes : List.of("Resumes: never-seen", "Resumes: ", "X-None: 1")) {
      Received refused = send(1, "q" + resumes.length(), "Last-Event-Id: 2", resumes);
      assertThat(refused.status()).isEqualTo(503);
      assertThat(refused.text()).doesNotContain("Retry-After");
    }
    assertThat(fleet.runCount("q")).isEqualTo(0);
  }

  @Test
  void streamOfUnknownOriginGoesOnWhileThereIsOneVersion() throws Exception {
    startRunners("v1", "v1");
    assertThat(send(1, "q1", "Last-Event-Id: 2").events()).containsExactly(3, 4, 5).inOrder();
  }

  @Test
  void streamOfLostVersionIsRefused() throws Exception {
    startRunners("v1", "v1.1");
    cutAll(2, Cut.RESET_INSIDE_EVENT);
    Received begun = send(1, "q1");
    cutAll(EVENTS, Cut.NONE);
    String origin = begun.versions().first();
    for (StandinRunner runner : runners) {
      if (runner.entry("ready").contains("\"" + origin + "\"")) {
        fleet.store.delete("servers/" + runner.id());
      }
    }
    LoopbackFleet.await(
        "the refusal",
        () -> {
          try {
            return takeUp(2, "q1", begun).status() == 503;
          } catch (IOException e) {
            return false;
          }
        });
    Received refused = takeUp(2, "q1", begun);
    assertThat(refused.status()).isEqualTo(503);
  }

  @Test
  void passedOnStreamGoesOnAtItsVersion() throws Exception {
    startRunners("v1", "v1.1", "v1", "v1.1");
    fleet.cutFromRunners(1, LoopbackFleet.Cut.REFUSED);
    int[] probes = {0};
    LoopbackFleet.await(
        "requests to be passed on",
        () -> {
          try {
            return send(1, "probe-" + probes[0]++).lastEvent().equals("5");
          } catch (IOException e) {
            return false;
          }
        });
    for (int round = 0; round < ROUNDS; round++) {
      cutAll(2, Cut.RESET_INSIDE_EVENT);
      String id = "q" + round;
      Received begun = send(1, id);
      cutAll(EVENTS, Cut.NONE);
      assertWithMessage(begun.text()).that(begun.versions()).hasSize(1);
      for (int host : new int[] {1, 2}) {
        Received goesOn = takeUp(host, id, begun);
        assertWithMessage(goesOn.text()).that(goesOn.versions()).isEqualTo(begun.versions());
      }
    }
  }
}
