package org.sequoiahub.core.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sequoiahub.core.call.Generation;
import org.sequoiahub.core.call.PromptPart;
import org.sequoiahub.core.capacity.RunnerSpeed;
import org.sequoiahub.core.runnerstate.SendDecision;
import org.sequoiahub.core.runnerstate.SendDecision.Reason;
import org.sequoiahub.core.upstream.RunnerEntry;
import org.sequoiahub.core.upstream.RunnerIncarnation;
import org.sequoiahub.core.upstream.SoftwareVersion;

class GenerationPlacementTest {

  private final GenerationPlacement placement = new GenerationPlacement(PlacementSettings.DEFAULT);

  private static Generation generation(String adapter) {
    return new Generation(
        "m",
        adapter,
        9_000,
        50,
        50,
        List.of(new PromptPart("s", 6_000), new PromptPart("o", 3_000)));
  }

  private static RunnerEntry runner(String id) {
    return new RunnerEntry(
        RunnerIncarnation.of(id),
        0,
        "s",
        SoftwareVersion.of("v1"),
        "10.0.0.1:80",
        "d",
        64,
        false,
        -1,
        0,
        Set.of("m"),
        Map.of());
  }

  private static Candidate candidate(String id, boolean present, long ahead, int unread) {
    long wait = present ? 0 : 250;
    return new Candidate(
        runner(id),
        3,
        ahead,
        0,
        unread,
        wait,
        new SendDecision.Now(),
        false,
        0,
        present,
        true,
        true,
        0,
        0,
        false,
        true);
  }

  private String choose(Generation generation, List<Candidate> candidates) {
    return placement
        .choose(generation, new StreamLimits(500, 5, 1_000), candidates, "")
        .orElseThrow()
        .candidate()
        .runner()
        .id();
  }

  @Nested
  class Speeds {
    private Candidate withSpeed(String id, RunnerSpeed speed) {
      return new Candidate(
          runner(id),
          3,
          4_000,
          0,
          4_000,
          0,
          new SendDecision.Now(),
          false,
          0,
          true,
          true,
          true,
          0,
          0,
          false,
          true,
          speed);
    }

    /** Guards against requests that queue at a runner whose machine is slowed. */
    @Test
    void preferTheFasterOfTwoEquallyLoadedRunners() {
      Candidate slow = withSpeed("slow", new RunnerSpeed(38, 40, 3.5, 0.3));
      Candidate fast = withSpeed("fast", new RunnerSpeed(38, 40, 1, 0.3));
      assertThat(choose(generation("a"), List.of(slow, fast))).isEqualTo("fast");
      assertThat(choose(generation("a"), List.of(fast, slow))).isEqualTo("fast");
    }

    /** Guards against changed decisions where no speed is estimated. */
    @Test
    void areTheConstantsWhereNothingIsEstimated() {
      Candidate candidate = withSpeed("r", RunnerSpeed.DEFAULT);
      assertThat(placement.expectedMillis(candidate))
          .isEqualTo(4_000 / 35.0 + 4_000 / 35.0 + 3 * 12);
    }
  }

  @Nested
  class LimitedRunners {
    private Candidate limited(long permitWaitMillis) {
      return waiting(new SendDecision.NotBefore(permitWaitMillis, Reason.RATE_LIMIT));
    }

    private Candidate waiting(SendDecision decision) {
      return new Candidate(
          runner("limited"),
          3,
          0,
          0,
          0,
          0,
          decision,
          false,
          0,
          true,
          true,
          true,
          0,
          0,
          false,
          true);
    }

    private String choose(StreamLimits limits, String waitingAt, Candidate... candidates) {
      return placement
          .choose(generation("a"), limits, List.of(candidates), waitingAt)
          .orElseThrow()
          .candidate()
          .runner()
          .id();
    }

    /** Guards against requests that are refused for a limit while another runner could load. */
    @Test
    void areLeftForRunnersThatMustLoadTheAdapterFirst() {
      StreamLimits limits = new StreamLimits(500, 5, 500);
      Candidate other = candidate("other", false, 0, 9_000);
      assertThat(choose(limits, "limited", limited(1_000), other)).isEqualTo("other");
      assertThat(choose(limits, "", limited(300), other)).isEqualTo("other");
    }

    @Test
    void serveWhatTheyPermitSoon() {
      StreamLimits limits = new StreamLimits(500, 5, 1_000);
      Candidate other = candidate("other", false, 0, 9_000);
      assertThat(choose(limits, "", limited(100), other)).isEqualTo("limited");
    }

    @Test
    void areChosenIfAllRunnersAreLimited() {
      StreamLimits limits = new StreamLimits(500, 5, 500);
      assertThat(choose(limits, "", limited(2_000))).isEqualTo("limited");
    }
  }

  @Nested
  class AbsentAdapters {
    /**
     * Guards against adapters that are loaded from the weight store repeatedly. Requests for rare
     * adapters arrive at different hosts while all runners are idle. If each host chooses by load
     * alone, an adapter is loaded at a different runner each time instead of at the one that
     * recently unloaded it and could reload it quickly.
     */
    @Test
    void areLoadedAtTheSameRunnerByAllHosts() {
      Map<String, Integer> chosen = new HashMap<>();
      for (int number = 0; number < 400; number++) {
        List<Candidate> candidates = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
          candidates.add(candidate("i-" + i, false, 0, 9_000));
        }
        Generation wanted = generation("a" + number);
        String first = choose(wanted, candidates);
        Collections.shuffle(candidates, new Random(number));
        assertThat(choose(wanted, candidates)).isEqualTo(first);
        chosen.merge(first, 1, Integer::sum);
      }
      assertThat(chosen.keySet()).hasSize(8);
      assertThat(Collections.max(chosen.values())).isLessThan(100);
    }

    @Test
    void areNotLoadedElsewhereIfTheirRunnerIsOnlyBusy() {
      List<Candidate> candidates =
          List.of(candidate("has", true, 9_000, 3_000), candidate("idle", false, 0, 9_000));
      assertThat(choose(generation("a1"), candidates)).isEqualTo("has");
    }

    @Test
    void areLoadedElsewhereIfTheQueueCostsMore() {
      List<Candidate> candidates =
          List.of(candidate("has", true, 60_000, 3_000), candidate("idle", false, 0, 9_000));
      assertThat(choose(generation("a1"), candidates)).isEqualTo("idle");
    }
  }

  @Nested
  class HugePrompts {
    private Candidate withStreams(String id, boolean present, int streams) {
      long wait = present ? 0 : 250;
      return new Candidate(
          runner(id),
          streams,
          0,
          0,
          20_000,
          wait,
          new SendDecision.Now(),
          false,
          0,
          present,
          true,
          true,
          0,
          0,
          false,
          true);
    }

    /**
     * Guards against half of the short responses pausing for too long. One prompt in six is longer
     * than streams tolerate. If such a prompt goes to the runner that holds its adapter regardless
     * of the streams there, each runner gets one every few seconds, while its short responses take
     * two seconds.
     */
    @Test
    void goToRunnerWithFewStreamsEvenIfTheAdapterMustBeLoaded() {
      List<Candidate> candidates =
          List.of(withStreams("busy", true, 14), withStreams("calm", false, 1));
      assertThat(choose(generation("a1"), candidates)).isEqualTo("calm");
    }

    @Test
    void stayWithTheirAdapterIfFewStreamsPause() {
      List<Candidate> candidates =
          List.of(withStreams("has", true, 4), withStreams("calm", false, 1));
      assertThat(choose(generation("a1"), candidates)).isEqualTo("has");
    }
  }

  @Nested
  class Reading {
    private static final double READ_TOKENS_PER_MILLI = 38.4;
    private static final double LONG_CONTEXT_MILLIS = 35;
    private static final double STEP_MILLIS = 5;
    private static final int CHUNK_TOKENS = 4_096;
    private static final int PROMPT_TOKENS = 9_190;

    @Test
    void isNotDelayedIfStreamsTolerateIt() {
      assertThat(
              placement.mayStartReading(
                  candidate("r", true, 30_000, PROMPT_TOKENS), new StreamLimits(600, 4, 1_000)))
          .isTrue();
    }

    @Test
    void isNeverDelayedAtAnIdleRunner() {
      assertThat(
              placement.mayStartReading(
                  candidate("r", true, 0, 40_000), new StreamLimits(500, 5, 1_000)))
          .isTrue();
    }

    /**
     * Guards against short responses that get their first token in 0.3 s but later pause for longer
     * than the 0.5 s that their callers accept. Long prompts arrive 1.4 times a second at a runner
     * with streams of 58 events of 5 tokens. If each prompt is sent on arrival, prompts in
     * succession leave no step without a chunk in between, and an event takes five steps of 0.14 s.
     */
    @Test
    void isPacedSoThatStreamsDoNotPause() {
      int together = latePercent(false);
      int paced = latePercent(true);
      assertThat(together).isAtLeast(15);
      assertThat(paced).isAtMost(together / 3);
    }

    /**
     * Simulates ten minutes at one runner; returns the percentage of streams that paused too long.
     */
    private int latePercent(boolean pace) {
      Random random = new Random(7);
      double now = 0;
      double nextPrompt = 0;
      double nextStream = 0;
      int queued = 0;
      int unread = 0;
      int estimatedUnread = 0;
      int stepsSinceRead = 0;
      int finished = 0;
      int late = 0;
      List<double[]> streams = new ArrayList<>(); // tokens left, last event, late
      while (now < 600_000) {
        while (nextPrompt <= now) {
          queued++;
          nextPrompt += -Math.log(1 - random.nextDouble()) * 1_000 / 1.4;
        }
        while (nextStream <= now) {
          streams.add(new double[] {290, now, 0});
          nextStream += -Math.log(1 - random.nextDouble()) * 1_000 / 2.2;
        }
        while (queued > 0
            && (!pace
                || placement.mayStartReading(
                    candidate("r", true, estimatedUnread, PROMPT_TOKENS),
                    new StreamLimits(500, 5, 1_000)))) {
          queued--;
          unread += PROMPT_TOKENS;
          estimatedUnread += PROMPT_TOKENS;
        }
        int chunk = Math.min(CHUNK_TOKENS, unread);
        unread -= chunk;
        // The host knows from a prompt's first event, which takes five steps, that it was read.
        stepsSinceRead = unread > 0 ? 0 : stepsSinceRead + 1;
        estimatedUnread = stepsSinceRead >= 5 ? 0 : estimatedUnread;
        now += STEP_MILLIS + chunk / READ_TOKENS_PER_MILLI + (chunk > 0 ? LONG_CONTEXT_MILLIS : 0);
        for (double[] stream : List.copyOf(streams)) {
          stream[0]--;
          if (stream[0] % 5 == 0) {
            stream[2] = now - stream[1] > 500 ? 1 : stream[2];
            stream[1] = now;
          }
          if (stream[0] == 0) {
            finished++;
            late += (int) stream[2];
            streams.remove(stream);
          }
        }
      }
      return 100 * late / finished;
    }
  }
}
