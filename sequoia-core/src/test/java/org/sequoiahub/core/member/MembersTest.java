package org.sequoiahub.core.member;

import static com.google.common.truth.Truth.assertThat;

import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class MembersTest {

  private final Members<String> members =
      new Members<>("self", new MemberSettings(200, 250, 5, 12, 20_000));

  private boolean receive(
      String host, long incarnation, long sequence, boolean leaving, long nowMillis) {
    return members.receive(
        host, "10.0.0." + host, incarnation, sequence, leaving, "state", nowMillis);
  }

  @Nested
  class Messages {
    @Test
    void olderOnesAreRejected() {
      assertThat(receive("1", 7, 2, false, 0)).isTrue();
      assertThat(receive("1", 7, 2, false, 1)).isFalse();
      assertThat(receive("1", 7, 1, false, 2)).isFalse();
      assertThat(receive("1", 6, 9, false, 3)).isFalse();
      assertThat(receive("1", 8, 1, false, 4)).isTrue();
    }

    /**
     * Guards against a restarted host that is never seen again.
     *
     * <p>The host's time of day steps back by 2 s; the host is killed, restarts, and derives its
     * incarnation from the time of day. Its messages bear a smaller incarnation than those of the
     * dead process.
     */
    @Test
    void smallerIncarnationIsAcceptedOnceTheLargerOneIsSilent() {
      receive("1", 7, 5, false, 0);
      assertThat(receive("1", 6, 1, false, 500)).isFalse();
      assertThat(receive("1", 6, 2, false, 1_000)).isTrue();
    }

    @Test
    void ownOnesAreRejected() {
      assertThat(receive("self", 7, 5, false, 0)).isFalse();
    }
  }

  @Nested
  class Silence {
    @Test
    void isSuspectedThenConsideredDead() {
      receive("1", 1, 1, false, 0);
      assertThat(members.isHealthy("1", 999)).isTrue();
      assertThat(members.isHealthy("1", 1_000)).isFalse();
      assertThat(members.alive(2_399)).hasSize(1);
      assertThat(members.alive(2_400)).isEmpty();
    }

    /**
     * Guards against two hosts that order the same runner at the same time.
     *
     * <p>A partition isolates one host of three, which considers the silent ones dead. If the dead
     * no longer counted, the isolated host would be a majority of one.
     */
    @Test
    void keepsTheDeadInTheElectorate() {
      receive("1", 1, 1, false, 0);
      receive("2", 1, 1, false, 0);
      assertThat(members.electorate(10_000)).isEqualTo(Set.of("self", "1", "2"));
    }
  }

  @Nested
  class Leaving {
    @Test
    void takesEffectAtOnce() {
      receive("1", 1, 1, false, 0);
      receive("1", 1, 2, true, 10);
      assertThat(members.alive(11)).isEmpty();
      assertThat(members.electorate(11)).isEqualTo(Set.of("self"));
    }
  }

  @Nested
  class LargeFleets {
    @Test
    void sendHeartbeatsLessOftenAndSuspectLater() {
      for (int host = 0; host < 300; host++) {
        receive("h" + host, 1, 1, false, 0);
      }
      assertThat(members.heartbeatPeriodMillis()).isEqualTo(1_200);
      assertThat(members.isHealthy("h7", 5_999)).isTrue();
      assertThat(members.isHealthy("h7", 6_000)).isFalse();
    }
  }

  @Nested
  class NamedHosts {
    @Test
    void areContactedEverySecondUntilTheyReply() {
      members.addCandidate("10.0.0.1", 0);
      assertThat(members.candidatesDue(0)).containsExactly("10.0.0.1");
      assertThat(members.candidatesDue(500)).isEmpty();
      assertThat(members.candidatesDue(1_000)).containsExactly("10.0.0.1");
      receive("1", 1, 1, false, 1_100);
      assertThat(members.candidatesDue(5_000)).isEmpty();
    }
  }
}
