package org.sequoiahub.core.authority;

import static com.google.common.truth.Truth.assertThat;

import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Guards against two hosts that send orders to a new runner within one lease duration.
 *
 * <p>A host acquires the lease of a runner that has just appeared, sends it orders and dies; then
 * another host acquires the lease. The failure occurs if a granter reports to the second host that
 * nobody held the lease before.
 */
class LeaseGranterTest {

  private static final long LEASE_MILLIS = 1_500;

  private final LeaseGranter granter = new LeaseGranter(0, LEASE_MILLIS);

  @Test
  void reportsOnlyHolder() {
    assertThat(granter.grantedOnlyTo("r", "a")).isTrue();
    assertThat(granter.grant("r", "a", LEASE_MILLIS, 2_000)).isTrue();
    assertThat(granter.grantedOnlyTo("r", "a")).isTrue();
    assertThat(granter.grantedOnlyTo("r", "b")).isFalse();
  }

  @Test
  void remembersEarlierHolderThatDied() {
    granter.grant("r", "a", LEASE_MILLIS, 2_000);
    assertThat(granter.grant("r", "b", LEASE_MILLIS, 2_000 + LEASE_MILLIS)).isTrue();
    assertThat(granter.grantedOnlyTo("r", "b")).isFalse();
    assertThat(granter.grantedOnlyTo("r", "a")).isFalse();
  }

  @Test
  void remembersEarlierHolderThatReleasedItsLease() {
    granter.grant("r", "a", LEASE_MILLIS, 2_000);
    granter.release("r", "a");
    assertThat(granter.grant("r", "b", LEASE_MILLIS, 2_100)).isTrue();
    assertThat(granter.grantedOnlyTo("r", "b")).isFalse();
  }

  @Test
  void statesForHowLongItGrantedToNobodyElse() {
    granter.grant("r", "a", LEASE_MILLIS, 2_000);
    assertThat(granter.exclusiveMillis("r", "a", 2_100)).isEqualTo(2_100);
    granter.grant("r", "b", LEASE_MILLIS, 4_000);
    assertThat(granter.exclusiveMillis("r", "a", 4_000)).isEqualTo(0);
    assertThat(granter.exclusiveMillis("r", "b", 4_000)).isEqualTo(2_000);
    granter.grant("r", "b", LEASE_MILLIS, 5_000);
    granter.release("r", "b");
    granter.grant("r", "a", LEASE_MILLIS, 5_100);
    assertThat(granter.exclusiveMillis("r", "a", 5_200)).isEqualTo(200);
  }

  @Test
  void forgetsRemovedRunners() {
    granter.grant("r", "a", LEASE_MILLIS, 2_000);
    granter.retainRunners(Set.of("other"), 60_000, 61_999);
    assertThat(granter.grantedOnlyTo("r", "b")).isFalse();
    granter.retainRunners(Set.of("other"), 60_000, 62_000);
    assertThat(granter.grantedOnlyTo("r", "b")).isTrue();
  }

  /** Guards against a second holder of a runner that this granter has not heard of yet. */
  @Test
  void keepsLeaseOfRunnerThatOnlyItsHolderKnows() {
    granter.grant("r", "a", LEASE_MILLIS, 2_000);
    granter.retainRunners(Set.of("other"), 60_000, 2_100);
    assertThat(granter.grant("r", "b", LEASE_MILLIS, 2_200)).isFalse();
    assertThat(granter.grant("r", "b", LEASE_MILLIS, 4_000)).isTrue();
    assertThat(granter.exclusiveMillis("r", "b", 4_000)).isEqualTo(2_000);
  }
}
