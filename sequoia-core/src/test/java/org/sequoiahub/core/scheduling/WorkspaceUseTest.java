package org.sequoiahub.core.scheduling;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class WorkspaceUseTest {

  private final WorkspaceUse use = new WorkspaceUse((workspace, now) -> 0);

  private void record(String workspace, int offered, int served) {
    use.recordOffered(workspace, 1, offered, 0);
    use.recordServed(workspace, served, 0);
  }

  @Test
  void isNotCountedWithoutShortage() {
    // Guards against a large workspace that is held back while there is capacity for all.
    record("large", 9_000, 9_000);
    record("small", 100, 100);
    assertThat(use.relativeUse("large", 1)).isEqualTo(0);
  }

  @Test
  void exceedsTheShareOfTheWorkspaceThatAsksForMost() {
    record("large", 9_000, 3_000);
    record("small", 1_500, 1_000);
    assertThat(use.relativeUse("large", 1)).isGreaterThan(1.1);
    assertThat(use.relativeUse("small", 1)).isLessThan(1.0);
  }

  @Test
  void includesWhatOtherHostsServe() {
    // Guards against a workspace that spreads its requests over many hosts.
    WorkspaceUse fleet =
        new WorkspaceUse((workspace, now) -> workspace.equals("spread") ? 9_000 : 100);
    for (String workspace : new String[] {"spread", "other"}) {
      fleet.recordOffered(workspace, 1, 200, 0);
      fleet.recordServed(workspace, 100, 0);
    }
    assertThat(fleet.relativeUse("spread", 1)).isGreaterThan(1.0);
    assertThat(fleet.relativeUse("other", 1)).isLessThan(1.0);
  }

  @Test
  void isForgottenWithTime() {
    record("large", 9_000, 3_000);
    record("small", 1_500, 1_000);
    assertThat(use.relativeUse("large", 100_000)).isEqualTo(0);
  }
}
