package org.sequoiahub.core.holding;

import static com.google.common.truth.Truth.assertThat;

import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

class HoldingsTest {

  private static Holdings.Holding holding(String host, int free, ResidentAdapter... items) {
    Map<String, ResidentAdapter> byName = new java.util.HashMap<>();
    for (ResidentAdapter item : items) {
      byName.put(item.target(), item);
    }
    return new Holdings.Holding(host, 1, 0, byName, Set.of("m"), free, 250, 0, 0, 4);
  }

  /**
   * Symptom: a request waits on although its adapter has come, or its runner changed hands.
   *
   * <p>Cause looked for: it is placed again only when what its runner holds is seen to change.
   */
  @Test
  void changesAreSeen() {
    Holdings holdings = new Holdings();
    long none = holdings.changeCount("r");
    holdings.update("r", holding("a", 1));
    long first = holdings.changeCount("r");
    assertThat(first).isNotEqualTo(none);
    holdings.update("r", holding("a", 1));
    assertThat(holdings.changeCount("r")).isEqualTo(first);
    holdings.update("r", holding("a", 1, new ResidentAdapter("m/a1", 1, 500)));
    long coming = holdings.changeCount("r");
    assertThat(coming).isNotEqualTo(first);
    holdings.update("r", holding("a", 1, new ResidentAdapter("m/a1", 2, 500)));
    assertThat(holdings.changeCount("r")).isNotEqualTo(coming);
    holdings.update("r", holding("a", 0, new ResidentAdapter("m/a1", 1, 500)));
    long full = holdings.changeCount("r");
    assertThat(full).isNotEqualTo(coming);
    holdings.update("r", holding("b", 0, new ResidentAdapter("m/a1", 1, 500)));
    assertThat(holdings.changeCount("r")).isNotEqualTo(full);
  }
}
