package org.sequoiahub.core.dispatch;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class RunnerHealthTest {

  private static final long NOW = 10_000;

  private final RunnerHealth health = new RunnerHealth();

  /** Guards against pauses of a sound runner that keep requests away from it once they are over. */
  @Nested
  class Pause {

    @Test
    void silenceCountsUntilTheNextSign() {
      health.silent(NOW);
      assertThat(health.failureRate(NOW)).isGreaterThan(0.1);
      health.responded(NOW + 1);
      assertThat(health.failureRate(NOW + 1)).isEqualTo(0.0);
    }

    @Test
    void silenceOfManyStreamsCountsUntilTheNextSign() {
      for (int stream = 0; stream < 30; stream++) {
        health.silent(NOW + stream);
      }
      assertThat(health.failureRate(NOW + 30)).isGreaterThan(0.9);
      health.responded(NOW + 31);
      assertThat(health.failureRate(NOW + 31)).isEqualTo(0.0);
    }

    @Test
    void connectThatTimedOutCountsUntilTheNextSign() {
      health.connectTimedOut(NOW);
      assertThat(health.failureRate(NOW)).isEqualTo(1.0);
      health.responded(NOW + 1);
      assertThat(health.failureRate(NOW + 1)).isEqualTo(0.0);
    }

    @Test
    void connectThatTimedOutCountsUntilTheNextSuccess() {
      health.connectTimedOut(NOW);
      health.succeeded(20, NOW + 1);
      assertThat(health.failureRate(NOW + 1)).isEqualTo(0.0);
    }

    @Test
    void signBeforeTheSilenceRefutesNothing() {
      health.connectTimedOut(NOW);
      health.responded(NOW - 1);
      health.responded(NOW);
      assertThat(health.failureRate(NOW)).isEqualTo(1.0);
    }

    @Test
    void signRefutesNoFailure() {
      health.failed(NOW);
      double before = health.failureRate(NOW + 1);
      health.silent(NOW + 1);
      health.responded(NOW + 2);
      assertThat(health.failureRate(NOW + 1)).isEqualTo(before);
    }

    /** A runner that closes its port completes the responses that it has begun. */
    @Test
    void signRefutesNoRefusedConnect() {
      health.unreachable(NOW);
      health.responded(NOW + 1);
      assertThat(health.failureRate(NOW + 1)).isGreaterThan(0.9);
    }
  }

  @Test
  void failuresDecay() {
    health.unreachable(NOW);
    assertThat(health.failureRate(NOW + 1_500)).isWithin(1e-9).of(0.5);
  }
}
