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
import org.sequoiahub.core.upstream.RunnerEntry;
import org.sequoiahub.core.upstream.RunnerIncarnation;

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
        runner(id), 3, ahead, 0, unread, wait, false, 0, present, true, true, 0, 0, false, true);
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
  class AbsentAdapters {
    /**
     * Symptom: adapters are brought from the store again and again.
     *
     * <p>Events: requests for rare adapters come to different hosts while all runners are idle.
     *
     * <p>Cause: each host chose by load alone, so an adapter was brought to another runner each
     * time than to the one that had dropped it lately and could have had it back at once.
     */
    @Test
    void goToTheSameRunnerWhicheverHostDecides() {
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
    void areNotBroughtWhileRunnerThatHasThemIsOnlyBusy() {
      List<Candidate> candidates =
          List.of(candidate("has", true, 9_000, 3_000), candidate("idle", false, 0, 9_000));
      assertThat(choose(generation("a1"), candidates)).isEqualTo("has");
    }

    @Test
    void areBroughtElsewhereWhenTheQueueCostsMore() {
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
     * Symptom: half of the short answers pause too long somewhere on their way.
     *
     * <p>Events: one prompt in six is longer than streams can bear, and each runner gets one every
     * few seconds, while its short answers take two.
     *
     * <p>Cause: such a prompt went where its adapter was, whoever streamed there.
     */
    @Test
    void goWhereFewStreamsRunEvenIfTheAdapterMustBeBrought() {
      List<Candidate> candidates =
          List.of(withStreams("busy", true, 14), withStreams("calm", false, 1));
      assertThat(choose(generation("a1"), candidates)).isEqualTo("calm");
    }

    @Test
    void stayWithTheirAdapterWhereLittleIsDisturbed() {
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
    private static final int PIECE = 4_096;
    private static final int PROMPT = 9_190;

    @Test
    void isNotHeldBackWhereStreamsBearIt() {
      assertThat(
              placement.mayStartReading(
                  candidate("r", true, 30_000, PROMPT), new StreamLimits(600, 4, 1_000)))
          .isTrue();
    }

    @Test
    void isNeverHeldBackAtAnIdleRunner() {
      assertThat(
              placement.mayStartReading(
                  candidate("r", true, 0, 40_000), new StreamLimits(500, 5, 1_000)))
          .isTrue();
    }

    /**
     * Symptom: short answers whose first token comes in 0.3 s are worth little: somewhere on their
     * way they pause for more than the 0.5 s that their callers accept.
     *
     * <p>Events: long prompts come at 1.4 a second to a runner with streams of 58 events of 5
     * tokens, each prompt sent on as it comes.
     *
     * <p>Cause: prompts that follow each other without a break leave no step in between, and an
     * event takes five steps of 0.14 s.
     */
    @Test
    void isPacedSoThatStreamsDoNotPause() {
      int together = latePercent(false);
      int paced = latePercent(true);
      assertThat(together).isAtLeast(15);
      assertThat(paced).isAtMost(together / 3);
    }

    /** Plays ten minutes at one runner; returns how many streams in a hundred paused too long. */
    private int latePercent(boolean pace) {
      Random random = new Random(7);
      double now = 0;
      double nextPrompt = 0;
      double nextStream = 0;
      int held = 0;
      int unread = 0;
      int believed = 0;
      int stepsSinceRead = 0;
      int finished = 0;
      int late = 0;
      List<double[]> streams = new ArrayList<>(); // tokens left, last event, late
      while (now < 600_000) {
        while (nextPrompt <= now) {
          held++;
          nextPrompt += -Math.log(1 - random.nextDouble()) * 1_000 / 1.4;
        }
        while (nextStream <= now) {
          streams.add(new double[] {290, now, 0});
          nextStream += -Math.log(1 - random.nextDouble()) * 1_000 / 2.2;
        }
        while (held > 0
            && (!pace
                || placement.mayStartReading(
                    candidate("r", true, believed, PROMPT), new StreamLimits(500, 5, 1_000)))) {
          held--;
          unread += PROMPT;
          believed += PROMPT;
        }
        int piece = Math.min(PIECE, unread);
        unread -= piece;
        // That a prompt was read is known from its first event, which takes five steps.
        stepsSinceRead = unread > 0 ? 0 : stepsSinceRead + 1;
        believed = stepsSinceRead >= 5 ? 0 : believed;
        now += STEP_MILLIS + piece / READ_TOKENS_PER_MILLI + (piece > 0 ? LONG_CONTEXT_MILLIS : 0);
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
