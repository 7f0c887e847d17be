package org.sequoiahub.core.ratelimit;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class IssuerFollowingTest {

  private final IssuerFollowing following = new IssuerFollowing("me", true, 0);

  @Test
  void firstProcessOfItsHostFollowsAtOnce() {
    assertThat(following.prefer("a", false, 10)).isTrue();
    assertThat(following.state(10)).isEqualTo("a");
  }

  /** Guards against two issuers that both use this host's part of a limit. */
  @Test
  void followsNobodyWhileTheFormerIssuerMayCountIt() {
    following.prefer("a", false, 0);
    following.state(1_000);
    following.prefer("b", false, 1_100);
    assertThat(following.followed()).isEmpty();
    following.prefer("b", false, 1_000 + IssuerFollowing.VALID_MILLIS);
    assertThat(following.followed()).isEmpty();
    following.prefer("b", false, 1_000 + IssuerFollowing.VALID_MILLIS + 300);
    assertThat(following.followed()).isEqualTo("b");
  }

  @Test
  void mayReturnToTheFormerIssuerAtOnce() {
    following.prefer("a", false, 0);
    following.state(1_000);
    following.prefer("b", false, 1_100);
    following.prefer("a", false, 1_200);
    assertThat(following.followed()).isEqualTo("a");
  }

  @Test
  void issuerThatAnnouncedItsLeavingIsReplacedAtOnce() {
    following.prefer("a", false, 0);
    following.state(1_000);
    following.prefer("b", true, 1_100);
    assertThat(following.followed()).isEqualTo("b");
  }

  /** Guards against a restarted process whose predecessor is still counted elsewhere. */
  @Test
  void restartedProcessFollowsNobodyAtFirst() {
    IssuerFollowing restarted = new IssuerFollowing("me", false, 5_000);
    restarted.prefer("a", false, 6_000);
    assertThat(restarted.followed()).isEmpty();
    restarted.prefer("a", false, 7_000);
    assertThat(restarted.followed()).isEqualTo("a");
  }
}
