package org.sequoiahub.core.scheduling;

import static com.google.common.truth.Truth.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class FairSharesTest {

  @Test
  void givesTheRestOfModestWorkspacesToTheOthers() {
    Map<String, Double> shares =
        FairShares.shares(100, Map.of("a", 10.0, "b", 90.0, "c", 200.0), Map.of());
    assertThat(shares).containsExactly("a", 10.0, "b", 45.0, "c", 45.0);
  }

  @Test
  void followsTheWeights() {
    Map<String, Double> shares =
        FairShares.shares(100, Map.of("a", 200.0, "b", 200.0), Map.of("a", 3.0));
    assertThat(shares).containsExactly("a", 75.0, "b", 25.0);
  }

  @Property
  void usesAllCapacityAndNoMoreThanIsNeeded(
      @ForAll @DoubleRange(max = 1_000) double capacity,
      @ForAll @Size(min = 1, max = 20) List<@DoubleRange(max = 500) Double> needs) {
    // Guards against capacity that is neither used nor divided.
    Map<String, Double> demands = new HashMap<>();
    for (Double need : needs) {
      demands.put("w" + demands.size(), need);
    }
    Map<String, Double> shares = FairShares.shares(capacity, demands, Map.of());
    double total = demands.values().stream().mapToDouble(Double::doubleValue).sum();
    double shared = shares.values().stream().mapToDouble(Double::doubleValue).sum();
    assertThat(shared).isWithin(1e-6).of(Math.min(total, capacity));
    shares.forEach(
        (name, share) -> assertThat(share).isAtMost(demands.getOrDefault(name, 0.0) + 1e-9));
  }
}
