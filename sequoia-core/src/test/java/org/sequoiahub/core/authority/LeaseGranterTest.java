package org.sequoiahub.core.authority;

import static com.google.common.truth.Truth.assertThat;

import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Symptom: two hosts order a new runner within the lease time.
 *
 * <p>Events: a host gains the lease of a runner that has just appeared, orders it and dies; another
 * one gains the lease after it.
 *
 * <p>Cause looked for: a granter that tells the second one that nobody held the lease before.
 */
class LeaseGranterTest {

  private static final long LEASE = 1_500;

  private final LeaseGranter granter = new LeaseGranter(0, LEASE);

  @Test
  void reportsOnlyHolder() {
    assertThat(granter.grantedOnlyTo("r", "a")).isTrue();
    assertThat(granter.grant("r", "a", LEASE, 2_000)).isTrue();
    assertThat(granter.grantedOnlyTo("r", "a")).isTrue();
    assertThat(granter.grantedOnlyTo("r", "b")).isFalse();
  }

  @Test
  void remembersEarlierHolderThatDied() {
    granter.grant("r", "a", LEASE, 2_000);
    assertThat(granter.grant("r", "b", LEASE, 2_000 + LEASE)).isTrue();
    assertThat(granter.grantedOnlyTo("r", "b")).isFalse();
    assertThat(granter.grantedOnlyTo("r", "a")).isFalse();
  }

  @Test
  void remembersEarlierHolderThatReleasedItsLease() {
    granter.grant("r", "a", LEASE, 2_000);
    granter.release("r", "a");
    assertThat(granter.grant("r", "b", LEASE, 2_100)).isTrue();
    assertThat(granter.grantedOnlyTo("r", "b")).isFalse();
  }

  @Test
  void forgetsRemovedRunners() {
    granter.grant("r", "a", LEASE, 2_000);
    granter.retainRunners(Set.of("other"));
    assertThat(granter.grantedOnlyTo("r", "b")).isTrue();
  }
}
