package org.sequoiahub.node.call;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Stream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.sequoiahub.node.call.PauseSimulation.Load;
import org.sequoiahub.node.call.PauseSimulation.Policy;
import org.sequoiahub.node.call.PauseSimulation.Results;
import org.sequoiahub.node.call.PauseSimulation.Scenario;

/** Guards against responses that a host ends although their runner would have ended them. */
class PausePoliciesTest {

  private static final int SEEDS = 3;

  /** Longest silence that is accepted before a second runner is sought, in these scenarios (ms). */
  private static final long MAX_SILENCE_MILLIS = SilentStreams.SILENCE_MILLIS + 600;

  static List<Scenario> scenarios() {
    List<Scenario> scenarios = new ArrayList<>();
    for (Load load : Load.values()) {
      scenarios.add(new Scenario(7, 9, load));
      scenarios.add(new Scenario(77, 42, load));
      scenarios.add(new Scenario(300, 201, load));
    }
    return scenarios;
  }

  /** Returns the scenarios in which no runner terminates after it has taken a stream over. */
  static Stream<Scenario> withoutLaterTerminations() {
    return scenarios().stream().filter(scenario -> scenario.load() != Load.DOMAIN_LOST_AFTER_PAUSE);
  }

  static Stream<Scenario> laterTerminations() {
    return scenarios().stream().filter(scenario -> scenario.load() == Load.DOMAIN_LOST_AFTER_PAUSE);
  }

  static Stream<Scenario> shortPauses() {
    return scenarios().stream().filter(scenario -> scenario.load() == Load.SHORT_PAUSE_OF_ALL);
  }

  static Stream<Scenario> silentRunners() {
    return scenarios().stream().filter(scenario -> scenario.load() == Load.SILENT_FOR_GOOD);
  }

  static Stream<Scenario> laggingHosts() {
    return scenarios().stream().filter(scenario -> scenario.load() == Load.HOSTS_LAG);
  }

  private record Simulated(Scenario scenario, Policy policy, long seed) {}

  private static final Map<Simulated, Results> RESULTS = new ConcurrentHashMap<>();

  private static Results run(Scenario scenario, Policy policy, long seed) {
    return RESULTS.computeIfAbsent(
        new Simulated(scenario, policy, seed),
        key -> new PauseSimulation(seed, scenario, policy).run());
  }

  /** Returns how many seeds are simulated; large fleets have many streams with one. */
  private static int seeds(Scenario scenario) {
    return scenario.hosts() > 100 ? 1 : SEEDS;
  }

  /** The policy of {@link SilentStreams}. */
  @Nested
  class SecondRunBesideTheFirst {

    @ParameterizedTest
    @MethodSource("org.sequoiahub.node.call.PausePoliciesTest#withoutLaterTerminations")
    void endsNoResponseEarly(Scenario scenario) {
      assertNoResponseEndedEarly(scenario);
    }

    /** Guards against a stream without a run left once its second runner terminates. */
    @Tag("known-red")
    @ParameterizedTest
    @MethodSource("org.sequoiahub.node.call.PausePoliciesTest#laterTerminations")
    void endsNoResponseEarlyIfTheSecondRunnerTerminates(Scenario scenario) {
      assertNoResponseEndedEarly(scenario);
    }

    private void assertNoResponseEndedEarly(Scenario scenario) {
      for (long seed = 1; seed <= seeds(scenario); seed++) {
        Results results = run(scenario, Policy.RACE, seed);
        assertWithMessage("ended early, seed %s: %s", seed, results)
            .that(results.endedEarly)
            .isEqualTo(0);
      }
    }

    @ParameterizedTest
    @MethodSource("org.sequoiahub.node.call.PausePoliciesTest#scenarios")
    void keepsTheBudget(Scenario scenario) {
      for (long seed = 1; seed <= seeds(scenario); seed++) {
        Results results = run(scenario, Policy.RACE, seed);
        assertWithMessage("retries over the budget, seed %s: %s", seed, results)
            .that(results.retriesOverBudget)
            .isAtMost(0.0);
      }
    }

    /** Guards against second runs that cost more responses than they save. */
    @ParameterizedTest
    @MethodSource("org.sequoiahub.node.call.PausePoliciesTest#scenarios")
    void completesNoFewerResponsesThanWithoutSecondRuns(Scenario scenario) {
      for (long seed = 1; seed <= seeds(scenario); seed++) {
        Results race = run(scenario, Policy.RACE, seed);
        Results never = run(scenario, Policy.NEVER, seed);
        assertWithMessage("completed, seed %s: %s, without: %s", seed, race, never)
            .that(race.completed)
            .isAtLeast(never.completed);
        assertWithMessage("spoiled, seed %s: %s", seed, race)
            .that(race.spoiled)
            .isAtMost(Math.max(1, race.takenOver / 4));
        assertWithMessage("not sent, seed %s: %s", seed, race)
            .that(race.notSent)
            .isEqualTo(never.notSent);
      }
    }

    @ParameterizedTest
    @MethodSource("org.sequoiahub.node.call.PausePoliciesTest#shortPauses")
    void shortPausesOfAllRunnersChangeNothing(Scenario scenario) {
      for (long seed = 1; seed <= seeds(scenario); seed++) {
        Results results = run(scenario, Policy.RACE, seed);
        assertWithMessage("retries, seed %s: %s", seed, results).that(results.retries).isEqualTo(0);
        assertWithMessage("marks, seed %s", seed).that(results.lastingMarks).isEqualTo(0);
        assertWithMessage("not sent, seed %s", seed).that(results.notSent).isEqualTo(0);
        assertWithMessage("completed, seed %s: %s", seed, results)
            .that(results.completed)
            .isEqualTo(run(scenario, Policy.NEVER, seed).completed);
      }
    }

    @ParameterizedTest
    @MethodSource("org.sequoiahub.node.call.PausePoliciesTest#silentRunners")
    void callersDoNotWaitForTheLapseOfAnEntry(Scenario scenario) {
      for (long seed = 1; seed <= seeds(scenario); seed++) {
        Results race = run(scenario, Policy.RACE, seed);
        Results never = run(scenario, Policy.NEVER, seed);
        assertWithMessage("completed, seed %s", seed)
            .that(race.completed)
            .isGreaterThan(never.completed);
        assertWithMessage("mean wait, seed %s", seed)
            .that(race.meanDeadWaitMillis())
            .isLessThan(MAX_SILENCE_MILLIS + 2 * PauseSimulation.READ_MILLIS);
      }
    }

    @ParameterizedTest
    @MethodSource("org.sequoiahub.node.call.PausePoliciesTest#laggingHosts")
    void delayOfTheHostIsNotTakenForSilence(Scenario scenario) {
      for (long seed = 1; seed <= seeds(scenario); seed++) {
        Results results = run(scenario, Policy.RACE, seed);
        assertWithMessage("retries, seed %s: %s", seed, results).that(results.retries).isEqualTo(0);
        assertWithMessage("marks, seed %s", seed).that(results.lastingMarks).isEqualTo(0);
      }
    }
  }

  /** Compares the ways that decision 0021 weighs. */
  @Nested
  class Policies {

    @ParameterizedTest
    @EnumSource(
        value = Load.class,
        names = {"PAUSE_OF_A_THIRD", "PAUSE_OF_ALL", "RELEASE", "HOSTS_LAG"})
    void cancellingFirstEndsResponsesEarly(Load load) {
      Results results = run(new Scenario(77, 42, load), Policy.CANCEL_FIRST, 1);
      assertWithMessage("%s", results).that(results.endedEarly).isGreaterThan(0);
    }

    @Test
    void printsTheFiguresOfAllPolicies() {
      for (Scenario scenario : scenarios()) {
        for (Policy policy : Policy.values()) {
          Results results = run(scenario, policy, 1);
          System.out.printf(
              "%d hosts, %d runners, %s, %s: %s%n",
              scenario.hosts(), scenario.runners(), scenario.load(), policy, results);
          assertWithMessage("streams").that(results.streams).isGreaterThan(0);
        }
      }
    }
  }
}
