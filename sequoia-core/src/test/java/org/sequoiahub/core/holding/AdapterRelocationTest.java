package org.sequoiahub.core.holding;

import static com.google.common.truth.Truth.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.sequoiahub.core.upstream.RunnerEntry;
import org.sequoiahub.core.upstream.RunnerIncarnation;
import org.sequoiahub.core.upstream.SoftwareVersion;

class AdapterRelocationTest {

  private static final long NOW = 1_000;

  private final Holdings holdings = new Holdings();
  private final RunnerEntry first = runner("i-1");
  private final RunnerEntry second = runner("i-2");

  private static RunnerEntry runner(String id) {
    return new RunnerEntry(
        RunnerIncarnation.of(id),
        0,
        "s",
        SoftwareVersion.of("v1"),
        "10.0.0.1:80",
        "z",
        8,
        false,
        -1,
        0,
        Set.of("m"),
        Map.of());
  }

  private void hold(RunnerEntry runner, int freePlaces, String... targets) {
    Map<String, ResidentAdapter> adapters = new HashMap<>();
    for (String target : targets) {
      adapters.put(target, new ResidentAdapter(target, 1, NOW));
    }
    holdings.update(
        runner.id(),
        new Holdings.Holding("h", 1, NOW, adapters, Set.of("m"), freePlaces, 250, 0, NOW, 0));
  }

  private Map<String, List<Demand>> demands(String... adapters) {
    return AdapterRelocation.demands(List.of(adapters), List.of(first, second), holdings);
  }

  @Test
  void adaptersGoToRunnerWithFreePlace() {
    hold(first, 0);
    hold(second, 2);
    for (int number = 0; number < 20; number++) {
      assertThat(demands("m/a" + number)).containsKey("i-2");
    }
    assertThat(demands("m/a1").get("i-2")).containsExactly(new Demand("m", "a1", 0, 0, 9));
  }

  @Test
  void adaptersSpreadOverRunnersAsRequestsDo() {
    hold(first, 0);
    hold(second, 0);
    String[] adapters = new String[20];
    for (int number = 0; number < adapters.length; number++) {
      adapters[number] = "m/a" + number;
    }
    assertThat(demands(adapters)).hasSize(2);
  }

  @Test
  void adaptersThatAnotherRunnerHoldsAreLeftOut() {
    hold(first, 0, "m/a1");
    hold(second, 2);
    assertThat(demands("m/a1")).isEmpty();
  }

  @Test
  void runnersWithoutHolderGetNone() {
    hold(second, 0);
    assertThat(demands("m/a1")).containsKey("i-2");
    assertThat(AdapterRelocation.demands(List.of("m/a1"), List.of(first), holdings)).isEmpty();
  }
}
