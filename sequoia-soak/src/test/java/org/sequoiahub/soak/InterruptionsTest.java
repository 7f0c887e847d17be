package org.sequoiahub.soak;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class InterruptionsTest {

  private final Interruptions interruptions = new Interruptions();

  @Test
  void findsOverlaps() {
    interruptions.add(100, 200);
    assertThat(interruptions.anyBetween(50, 99)).isFalse();
    assertThat(interruptions.anyBetween(50, 100)).isTrue();
    assertThat(interruptions.anyBetween(120, 130)).isTrue();
    assertThat(interruptions.anyBetween(50, 300)).isTrue();
    assertThat(interruptions.anyBetween(200, 300)).isTrue();
    assertThat(interruptions.anyBetween(201, 300)).isFalse();
  }
}
