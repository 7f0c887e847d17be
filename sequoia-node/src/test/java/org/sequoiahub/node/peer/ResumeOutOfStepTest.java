package org.sequoiahub.node.peer;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.logging.Level;
import java.util.logging.Logger;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.IntRange;
import org.sequoiahub.core.origin.ResumeDecision;
import org.sequoiahub.usersplatform.standin.VirtualStore;

/**
 * Guards against streams of unknown origin that go on at another software version, at hosts that
 * were paused, cut off from the store or restarted during a release.
 */
class ResumeOutOfStepTest {

  private static final Logger LOG = Logger.getLogger("org.sequoiahub");

  static {
    LOG.setLevel(Level.OFF);
  }

  private static final int DOMAINS = 3;
  private static final int JOIN_MILLIS = 4_000;
  private static final long TIMEOUT_MILLIS = 1_500;

  /** The longest life of a stream whose caller repeats it three times (ms). */
  private static final long LIFE_MILLIS = 4 * TIMEOUT_MILLIS;

  private static final String NEW_VERSION = "v2";

  /** What happens to a host while runners are released. */
  private enum Trouble {
    NONE,
    PAUSED,
    CUT_FROM_STORE,
    PAUSED_AND_CUT,
    ALL_RESTARTED
  }

  /** The time in which a version had a runner. */
  private static final class Presence {
    final long fromMillis;
    long untilMillis = Long.MAX_VALUE;

    Presence(long fromMillis) {
      this.fromMillis = fromMillis;
    }
  }

  /** A take-up that is not decided. */
  private record TakeUp(int host, long arrivedMillis) {}

  private static final class Scenario {
    final RecordSimulation simulation;
    final Random random;
    final int hosts;
    final Map<String, Presence> presences = new HashMap<>();
    final Presence firstVersion;
    final List<TakeUp> undecided = new ArrayList<>();
    final Map<String, Integer> decisions = new HashMap<>();

    Scenario(long seed, int hosts) {
      this.simulation = new RecordSimulation(seed, hosts, DOMAINS);
      this.random = new Random(seed);
      this.hosts = hosts;
      this.firstVersion = new Presence(simulation.now() - 2 * LIFE_MILLIS);
      presences.put(RecordSimulation.FIRST_VERSION, firstVersion);
      simulation.advance(JOIN_MILLIS);
    }

    void play(Trouble trouble) {
      int victim = random.nextInt(hosts);
      long troubleEnd = simulation.now() + 300 + random.nextInt(4_000);
      long releaseAt = simulation.now() + random.nextInt(4_000);
      begin(trouble, victim, troubleEnd);
      boolean released = false;
      boolean ended = false;
      long end = Math.max(troubleEnd, releaseAt) + 1_500 + random.nextInt(2_000);
      while (simulation.now() < end || !undecided.isEmpty()) {
        if (!released && simulation.now() >= releaseAt) {
          released = true;
          release();
        }
        if (!ended && simulation.now() >= troubleEnd) {
          ended = true;
          end(trouble);
        }
        if (ended && simulation.now() < end && simulation.now() % 50 == 0) {
          undecided.add(new TakeUp(victim, simulation.now()));
        }
        simulation.step();
        undecided.removeIf(this::decide);
      }
    }

    private void begin(Trouble trouble, int victim, long untilMillis) {
      if (trouble == Trouble.PAUSED || trouble == Trouble.PAUSED_AND_CUT) {
        simulation.peers.freeze(victim, untilMillis);
      }
      if (trouble == Trouble.CUT_FROM_STORE || trouble == Trouble.PAUSED_AND_CUT) {
        simulation.store.setFault(VirtualStore.Fault.SILENT, host -> host == victim);
      }
      if (trouble == Trouble.ALL_RESTARTED) {
        for (int host = 0; host < hosts; host++) {
          simulation.kill(host);
        }
      }
    }

    private void end(Trouble trouble) {
      simulation.store.setFault(VirtualStore.Fault.NONE, host -> true);
      if (trouble == Trouble.ALL_RESTARTED) {
        for (int host = 0; host < hosts; host++) {
          simulation.start(host);
        }
      }
    }

    private void release() {
      presences.put(NEW_VERSION, new Presence(simulation.now()));
      boolean all = random.nextBoolean();
      if (all) {
        simulation.releaseAll(NEW_VERSION);
        firstVersion.untilMillis = simulation.now();
      } else {
        simulation.releaseRunner(NEW_VERSION);
      }
    }

    private boolean decide(TakeUp takeUp) {
      ResumeDecision decision =
          simulation.host(takeUp.host).resume(TIMEOUT_MILLIS, takeUp.arrivedMillis);
      if (decision instanceof ResumeDecision.NotYet) {
        return false;
      }
      decisions.merge(decision.getClass().getSimpleName(), 1, Integer::sum);
      if (decision instanceof ResumeDecision.OnlyAt only) {
        presences.forEach(
            (version, presence) -> {
              boolean mayHaveBegunIt =
                  presence.fromMillis < takeUp.arrivedMillis
                      && presence.untilMillis > takeUp.arrivedMillis - LIFE_MILLIS;
              if (!version.equals(only.version().name())) {
                assertWithMessage(
                        "a stream taken up at %s goes on at %s and may have begun at %s",
                        takeUp, only.version(), version)
                    .that(mayHaveBegunIt)
                    .isFalse();
              }
            });
      }
      return true;
    }
  }

  private static Map<String, Integer> play(long seed, int hosts, Trouble trouble) {
    Scenario scenario = new Scenario(seed, hosts);
    scenario.play(trouble);
    return scenario.decisions;
  }

  @Property(tries = 150, seed = "20261205", shrinking = ShrinkingMode.OFF)
  void streamsGoOnAtTheirVersionOnly(
      @ForAll Trouble trouble, @ForAll @IntRange(min = 2, max = 9) int hosts, @ForAll long seed) {
    play(seed, hosts, trouble);
  }

  @Example
  void streamsGoOnAtTheirVersionOnlyAt77Hosts() {
    for (Trouble trouble : Trouble.values()) {
      play(77, 77, trouble);
    }
  }

  @Example
  void streamsGoOnAtTheirVersionOnlyAt300Hosts() {
    play(300, 300, Trouble.PAUSED);
  }

  /** Guards against a policy that refuses all streams of unknown origin. */
  @Example
  void undisturbedHostsLetStreamsGoOnBeforeTheRelease() {
    Map<String, Integer> decisions = new HashMap<>();
    for (long seed = 0; seed < 10; seed++) {
      play(seed, 7, Trouble.NONE)
          .forEach((kind, count) -> decisions.merge(kind, count, Integer::sum));
    }
    System.out.println("decisions at undisturbed hosts: " + decisions);
    assertWithMessage("streams that go on").that(decisions.getOrDefault("OnlyAt", 0)).isAtLeast(10);
  }
}
