package org.sequoiahub.core.holding;

import static com.google.common.truth.Truth.assertThat;

import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

class HoldingsTest {

  private static Holdings.Holding holding(String host, int free, ResidentAdapter... adapters) {
    Map<String, ResidentAdapter> byName = new java.util.HashMap<>();
    for (ResidentAdapter adapter : adapters) {
      byName.put(adapter.target(), adapter);
    }
    return new Holdings.Holding(host, 1, 0, byName, Set.of("m"), free, 250, 0, 0, 4);
  }

  /**
   * Guards against a request that keeps waiting although its adapter was loaded or its runner has a
   * new holder: requests are only placed again when the change count of their runner differs.
   */
  @Test
  void changeCountDiffersAfterEachRelevantChange() {
    Holdings holdings = new Holdings();
    long none = holdings.changeCount("r");
    holdings.update("r", holding("a", 1));
    long first = holdings.changeCount("r");
    assertThat(first).isNotEqualTo(none);
    holdings.update("r", holding("a", 1));
    assertThat(holdings.changeCount("r")).isEqualTo(first);
    holdings.update("r", holding("a", 1, new ResidentAdapter("m/a1", 1, 500)));
    long loading = holdings.changeCount("r");
    assertThat(loading).isNotEqualTo(first);
    holdings.update("r", holding("a", 1, new ResidentAdapter("m/a1", 2, 500)));
    assertThat(holdings.changeCount("r")).isNotEqualTo(loading);
    holdings.update("r", holding("a", 0, new ResidentAdapter("m/a1", 1, 500)));
    long full = holdings.changeCount("r");
    assertThat(full).isNotEqualTo(loading);
    holdings.update("r", holding("b", 0, new ResidentAdapter("m/a1", 1, 500)));
    assertThat(holdings.changeCount("r")).isNotEqualTo(full);
  }
}
