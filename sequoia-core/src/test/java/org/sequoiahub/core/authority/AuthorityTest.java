package org.sequoiahub.core.authority;

import static com.google.common.truth.Truth.assertThat;

import java.util.Set;
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

    @Test
    void restartedGranterAbstainsUntilEarlierLeasesHaveExpired() {
      LeaseGranter granter = new LeaseGranter(500, TERM_MILLIS);
      assertThat(granter.grant("r", "b", TERM_MILLIS, 1_499)).isFalse();
      assertThat(granter.grant("r", "b", TERM_MILLIS, 1_500)).isTrue();
      assertThat(granter.grant("r", "c", TERM_MILLIS, 2_499)).isFalse();
    }
  }
}
