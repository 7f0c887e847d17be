package org.sequoiahub.core.upstream;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.sequoiahub.core.placement.Rendezvous;

class RunnerIncarnationTest {

  @Test
  void identifiesOneProcessOfOneRunner() {
    RunnerIncarnation incarnation = new RunnerIncarnation("i-1", 7);
    assertThat(incarnation).isEqualTo(new RunnerIncarnation("i-1", 7));
    assertThat(incarnation.hashCode()).isEqualTo(new RunnerIncarnation("i-1", 7).hashCode());
    assertThat(incarnation).isNotEqualTo(new RunnerIncarnation("i-1", 8));
    assertThat(incarnation).isNotEqualTo(new RunnerIncarnation("i-2", 7));
    assertThat(incarnation).isNotEqualTo(RunnerIncarnation.of("i-1"));
  }

  @Test
  void cachesItsKeyAndTheRankingHash() {
    assertThat(new RunnerIncarnation("i-1", 7).key()).isEqualTo("i-1/7");
    assertThat(RunnerIncarnation.of("i-1").key()).isEqualTo("i-1");
    assertThat(RunnerIncarnation.of("i-1").keyHash()).isEqualTo(Rendezvous.hash("i-1"));
  }
}
