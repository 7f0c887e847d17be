package org.sequoiahub.node.peer;

import static com.google.common.truth.Truth.assertThat;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sequoiahub.core.member.MemberSettings;
import org.sequoiahub.core.member.Members;
import org.sequoiahub.core.member.Members.Member;
import org.sequoiahub.schema.peer.Digest;
import org.sequoiahub.schema.peer.HostState;

class AliveMarksTest {

  private static final long PERIOD_MILLIS = 100;

  private final AliveMarks.Rotation rotation = new AliveMarks.Rotation(48);
  private final Members<HostState> senders = new Members<>("delegate", MemberSettings.DEFAULT);
  private final Members<HostState> receivers = new Members<>("ordinary", MemberSettings.DEFAULT);
  private final AliveMarks senderMarks = new AliveMarks(senders);
  private final AliveMarks receiverMarks = new AliveMarks(receivers);

  private static void receiveState(
      Members<HostState> members, long incarnation, boolean leaving, long nowMillis) {
    HostState state = HostState.newBuilder().setReady(true).setLeaving(leaving).build();
    members.receive("host", "ip", incarnation, nowMillis, leaving, state, nowMillis);
  }

  private void exchangeMarks(long nowMillis) {
    Digest.Builder digest = Digest.newBuilder();
    senderMarks.add(digest, senders.reachable(nowMillis), rotation, nowMillis);
    receiverMarks.refresh(nowMillis);
    receiverMarks.apply(digest.build(), nowMillis);
  }

  private long lastSeenMillis() {
    return receivers.find("host").orElseThrow().lastSeenMillis();
  }

  @Nested
  class LivingHosts {

    @Test
    void stayAliveWithoutReportsOfTheirOwn() {
      receiveState(receivers, 1, false, 0);
      for (long now = 0; now < 10_000; now += PERIOD_MILLIS) {
        receiveState(senders, 1, false, now);
        exchangeMarks(now);
      }
      assertThat(receivers.isHealthy("host", 10_000)).isTrue();
      assertThat(lastSeenMillis()).isEqualTo(9_900);
    }
  }

  @Nested
  class ManyHosts {

    private static final int HOSTS = 77;

    /** Digests of few hosts, sent in between, must not disturb the rotation. */
    @Test
    void areAllMarkedByTwoDigests() {
      for (int number = 0; number < HOSTS; number++) {
        HostState state = HostState.newBuilder().setReady(true).build();
        senders.receive("host-" + number, "ip-" + number, 1, 1, false, state, 0);
      }
      List<Member<HostState>> all = senders.reachable(0);
      Set<Integer> marked = new HashSet<>();
      for (int i = 0; i < 2; i++) {
        Digest.Builder digest = Digest.newBuilder();
        senderMarks.add(digest, all, rotation, 0);
        marked.addAll(digest.getAliveList());
        senderMarks.add(Digest.newBuilder(), all.subList(0, 19), rotation, 0);
      }
      assertThat(marked).hasSize(HOSTS);
    }
  }

  @Nested
  class DeadHosts {

    /**
     * Guards against a dead host that is advertised to callers for as long as the fleet runs: a
     * delegate keeps sending its mark, and the age must count from when the host was last seen, not
     * from when the mark was sent.
     */
    @Test
    void areDetectedDespiteMarks() {
      receiveState(senders, 1, false, 0);
      receiveState(receivers, 1, false, 0);
      for (long now = 0; now < 10_000; now += PERIOD_MILLIS) {
        exchangeMarks(now);
      }
      assertThat(lastSeenMillis()).isEqualTo(0);
      assertThat(receivers.isHealthy("host", 10_000)).isFalse();
      assertThat(receivers.alive(10_000)).isEmpty();
    }
  }

  @Nested
  class DamagedDigests {

    /**
     * Guards against a dead host that is advertised for weeks after one damaged datagram: an age
     * above the largest integer decodes as a negative number, which would lie in the future.
     */
    @Test
    void hugeAgesKeepNoHostAlive() {
      receiveState(senders, 1, false, 0);
      receiveState(receivers, 1, false, 0);
      Digest.Builder digest = Digest.newBuilder();
      senderMarks.add(digest, senders.reachable(0), rotation, 0);
      receiverMarks.refresh(0);
      receiverMarks.apply(digest.setAliveAgesMs(0, -1_000_000).build(), PERIOD_MILLIS);
      assertThat(lastSeenMillis()).isEqualTo(0);
    }
  }

  @Nested
  class MissedReports {

    /** A restarted process has lost its predecessor's state and must not be mistaken for it. */
    @Test
    void restartedHostIsNotMistakenForItsPredecessor() {
      receiveState(receivers, 1, false, 0);
      receiveState(senders, 2, false, 5_000);
      exchangeMarks(5_000);
      assertThat(lastSeenMillis()).isEqualTo(0);
    }

    @Test
    void leavingHostLooksSilentToUninformedHosts() {
      receiveState(receivers, 1, false, 0);
      receiveState(senders, 1, true, 5_000);
      exchangeMarks(5_000);
      assertThat(lastSeenMillis()).isEqualTo(0);
    }
  }
}
