package org.sequoiahub.core.member;

import static com.google.common.truth.Truth.assertThat;

import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class MembersTest {

  private final Members<String> members =
      new Members<>("self", new MemberSettings(200, 250, 5, 12, 20_000));

  private boolean heard(String host, long incarnation, long number, boolean leaving, long now) {
    return members.receive(host, "10.0.0." + host, incarnation, number, leaving, "state", now);
  }

  @Nested
  class Words {
    @Test
    void olderOneIsDropped() {
      assertThat(heard("1", 7, 2, false, 0)).isTrue();
      assertThat(heard("1", 7, 2, false, 1)).isFalse();
      assertThat(heard("1", 7, 1, false, 2)).isFalse();
      assertThat(heard("1", 6, 9, false, 3)).isFalse();
      assertThat(heard("1", 8, 1, false, 4)).isTrue();
    }

    /**
     * Symptom: a restarted host is never seen again.
     *
     * <p>Events: its time of day steps back by 2 s; it is killed and starts again, and draws its
     * incarnation from the time of day.
     *
     * <p>Cause: its words bear a smaller incarnation than the dead process's.
     */
    @Test
    void smallerIncarnationCountsOnceTheLargerOneIsSilent() {
      heard("1", 7, 5, false, 0);
      assertThat(heard("1", 6, 1, false, 500)).isFalse();
      assertThat(heard("1", 6, 2, false, 1_000)).isTrue();
    }

    @Test
    void ownOnesAreDropped() {
      assertThat(heard("self", 7, 5, false, 0)).isFalse();
    }
  }

  @Nested
  class Silence {
    @Test
    void isSuspectedThenBelieved() {
      heard("1", 1, 1, false, 0);
      assertThat(members.isHealthy("1", 999)).isTrue();
      assertThat(members.isHealthy("1", 1_000)).isFalse();
      assertThat(members.alive(2_399)).hasSize(1);
      assertThat(members.alive(2_400)).isEmpty();
    }

    /**
     * Symptom: two hosts order one runner at the same time.
     *
     * <p>Events: a partition cuts one host of three off; it takes the silent ones for dead.
     *
     * <p>Cause looked for: the dead no longer count, and the cut-off host is a majority of one.
     */
    @Test
    void leavesTheDeadInTheElectorate() {
      heard("1", 1, 1, false, 0);
      heard("2", 1, 1, false, 0);
      assertThat(members.electorate(10_000)).isEqualTo(Set.of("self", "1", "2"));
    }
  }

  @Nested
  class Leaving {
    @Test
    void isBelievedAtOnce() {
      heard("1", 1, 1, false, 0);
      heard("1", 1, 2, true, 10);
      assertThat(members.alive(11)).isEmpty();
      assertThat(members.electorate(11)).isEqualTo(Set.of("self"));
    }
  }

  @Nested
  class LargeFleets {
    @Test
    void speakLessOftenAndSuspectLater() {
      for (int host = 0; host < 300; host++) {
        heard("h" + host, 1, 1, false, 0);
      }
      assertThat(members.heartbeatPeriodMillis()).isEqualTo(1_200);
      assertThat(members.isHealthy("h7", 5_999)).isTrue();
      assertThat(members.isHealthy("h7", 6_000)).isFalse();
    }
  }

  @Nested
  class Named {
    @Test
    void areTriedEachSecondUntilTheySpeak() {
      members.addCandidate("10.0.0.1", 0);
      assertThat(members.candidatesDue(0)).containsExactly("10.0.0.1");
      assertThat(members.candidatesDue(500)).isEmpty();
      assertThat(members.candidatesDue(1_000)).containsExactly("10.0.0.1");
      heard("1", 1, 1, false, 1_100);
      assertThat(members.candidatesDue(5_000)).isEmpty();
    }
  }
}
