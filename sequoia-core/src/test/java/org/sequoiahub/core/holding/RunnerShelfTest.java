package org.sequoiahub.core.holding;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sequoiahub.core.routing.EngineSpec;
import org.sequoiahub.core.routing.ModelSpec;

class RunnerShelfTest {

  private static final EngineSpec ENGINE =
      new EngineSpec(8, 10_000, 1_000, 4, 3, 4, List.of(new ModelSpec("m", 800, 10, 500)));

  private final RunnerShelf shelf = new RunnerShelf(ENGINE, ShelfSettings.DEFAULT);

  @Nested
  class RefusedForAnAdapterThatShouldBeThere {

    /**
     * Symptom: one request is refused four times within 0.2 s by the same runner.
     *
     * <p>Events: the runner has lost an adapter that it held for long; a request for it is refused.
     *
     * <p>Cause: the holder goes on telling that the adapter is there until the next report.
     */
    @Test
    void isNotToldAsHeldUntilTheNextReport() {
      shelf.adopt(report("m/a1"), 1_000);
      shelf.missing("m/a1", 5_000);
      assertThat(shelf.held()).isEmpty();
      assertThat(shelf.reportDue(5_000)).isTrue();
      shelf.adopt(report("m/a1"), 5_100);
      assertThat(shelf.held()).hasSize(1);
    }

    @Test
    void isToldAsComingWhileItMayBeLate() {
      shelf.adopt(report("m/a1"), 1_000);
      shelf.missing("m/a1", 1_100);
      assertThat(shelf.held()).hasSize(1);
      assertThat(shelf.held().get(0).readyMillis()).isGreaterThan(1_100);
    }

    private RunnerReport report(String adapter) {
      return new RunnerReport(1, false, Set.of("m"), Map.of(adapter, 1), Map.of());
    }
  }
}
