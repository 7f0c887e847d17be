package org.sequoiahub.core.authority;

import static com.google.common.truth.Truth.assertThat;

import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class AuthorityTest {

  private static final long TERM_MILLIS = 1_000;

  @Nested
  class Fenced {

    private final FencedAuthority authority = new FencedAuthority(TERM_MILLIS, 7);

    /**
     * Guards against a paused dispatcher that acts as the holder after another has taken over.
     *
     * <p>It sends a renewal, is paused, and reads the engine's acceptance when it resumes. The
     * failure occurs if authority is counted from the arrival of the response instead of from the
     * sending of the claim.
     */
    @Test
    void lateResponseDoesNotExtendAuthority() {
      authority.claimSent(0);
      authority.claimAccepted(authority.fencingNumber(), 0, 900);
      assertThat(authority.rights(999).held()).isTrue();
      assertThat(authority.rights(1_000).held()).isFalse();
      authority.claimAccepted(authority.fencingNumber(), 0, 5_000);
      assertThat(authority.rights(5_001).held()).isFalse();
    }

    @Test
    void refusalOfOlderNumberIsIgnored() {
      long old = authority.fencingNumber();
      authority.release();
      authority.claimAccepted(authority.fencingNumber(), 0, 1);
      authority.fencingNumberRefused(old, Long.MAX_VALUE >> 1, 2);
      assertThat(authority.rights(3).held()).isTrue();
    }

    @Test
    void holdersNeverChooseTheSameNumber() {
      FencedAuthority other = new FencedAuthority(TERM_MILLIS, 8);
      assertThat(authority.fencingNumber()).isNotEqualTo(other.fencingNumber());
      other.fencingNumberRefused(other.fencingNumber(), authority.fencingNumber(), 0);
      assertThat(other.fencingNumber()).isGreaterThan(authority.fencingNumber());
    }
  }

  @Nested
  class Leased {

    private final LeasedAuthority authority = new LeasedAuthority(TERM_MILLIS);

    @Test
    void requiresMajorityOfFormerHostsAfterRecentChange() {
      authority.updateGranters(Set.of("a", "b", "c"), 0);
      authority.updateGranters(Set.of("a", "x", "y"), 10);
      authority.roundSent(20);
      authority.claimGranted("x", 20, 21);
      authority.claimGranted("y", 20, 21);
      assertThat(authority.rights(22).held()).isFalse();
      authority.claimGranted("a", 20, 22);
      authority.claimGranted("b", 20, 22);
      assertThat(authority.rights(23).held()).isTrue();
    }

    /** Guards against a holder that goes on although another one may have held the lease. */
    @Nested
    class Regained {

      private static final long LOST_MILLIS = TERM_MILLIS;

      @BeforeEach
      void loseLease() {
        authority.updateGranters(Set.of("a", "b", "c"), 0);
        grantAll(0, 0);
      }

      private void grantAll(long sentMillis, long exclusiveMillis) {
        authority.roundSent(sentMillis);
        for (String host : Set.of("a", "b", "c")) {
          authority.claimGranted(host, sentMillis, exclusiveMillis, sentMillis);
        }
      }

      @Test
      void continuesIfMajorityGrantedItToNobodyElse() {
        authority.roundSent(1_300);
        authority.claimGranted("a", 1_300, 300, 1_300);
        assertThat(authority.rights(1_300).held()).isFalse();
        authority.claimGranted("b", 1_300, 310, 1_310);
        assertThat(authority.rights(1_310).held()).isTrue();
        assertThat(authority.continuesFormerTerm()).isTrue();
      }

      @Test
      void doesNotContinueIfGrantersMayHaveGrantedItToOthers() {
        authority.roundSent(1_300);
        authority.claimGranted("a", 1_300, 5_000, 1_300);
        // Granted to another holder at 1,001 at the latest.
        authority.claimGranted("b", 1_300, 309, 1_310);
        assertThat(authority.rights(1_310).held()).isTrue();
        assertThat(authority.continuesFormerTerm()).isFalse();
      }

      @Test
      void continuesOnceLaterGrantCompletesMajority() {
        authority.roundSent(1_300);
        authority.claimGranted("a", 1_300, 5_000, 1_300);
        authority.claimGranted("b", 1_300, 0, 1_310);
        assertThat(authority.continuesFormerTerm()).isFalse();
        authority.claimGranted("c", 1_300, 5_000, 1_320);
        assertThat(authority.continuesFormerTerm()).isTrue();
      }

      @Test
      void statementsOfFormerRoundsDoNotCount() {
        authority.roundSent(1_100);
        authority.claimGranted("a", 1_100, 5_000, 1_100);
        authority.roundSent(1_300);
        authority.claimGranted("a", 1_100, 5_000, 1_301);
        authority.claimGranted("b", 1_300, 5_000, 1_310);
        authority.claimGranted("c", 1_300, 0, 1_320);
        assertThat(authority.rights(1_320).held()).isTrue();
        assertThat(authority.continuesFormerTerm()).isFalse();
      }

      @Test
      void statementReadLateCoversLessTime() {
        authority.roundSent(1_300);
        authority.claimGranted("a", 1_300, 5_000, 1_300);
        // Made at 1,310, when the host had been exclusive since 1,000, and read at 1,900.
        authority.claimGranted("b", 1_300, 310, 1_900);
        assertThat(authority.continuesFormerTerm()).isFalse();
      }

      @Test
      void requiresMajorityOfElectoratesSinceTheLoss() {
        authority.updateGranters(Set.of("a", "x", "y"), LOST_MILLIS + 50);
        authority.updateGranters(Set.of("a", "b", "x"), LOST_MILLIS + 100);
        authority.roundSent(3_000);
        authority.claimGranted("a", 3_000, 5_000, 3_000);
        authority.claimGranted("b", 3_000, 5_000, 3_000);
        assertThat(authority.rights(3_000).held()).isTrue();
        assertThat(authority.continuesFormerTerm()).isFalse();
        authority.claimGranted("x", 3_000, 5_000, 3_001);
        assertThat(authority.continuesFormerTerm()).isTrue();
      }

      @Test
      void eachLossNeedsStatementsOfItsOwn() {
        grantAll(1_300, 5_000);
        assertThat(authority.continuesFormerTerm()).isTrue();
        grantAll(2_500, 100);
        assertThat(authority.continuesFormerTerm()).isFalse();
      }
    }

    @Test
    void restartedGranterAbstainsUntilEarlierLeasesHaveExpired() {
      LeaseGranter granter = new LeaseGranter(500, TERM_MILLIS);
      assertThat(granter.grant("r", "b", TERM_MILLIS, 1_499)).isFalse();
      assertThat(granter.grant("r", "b", TERM_MILLIS, 1_500)).isTrue();
      assertThat(granter.grant("r", "c", TERM_MILLIS, 2_499)).isFalse();
    }
  }
}
