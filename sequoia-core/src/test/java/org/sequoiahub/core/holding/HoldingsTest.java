package org.sequoiahub.core.holding;

import static com.google.common.truth.Truth.assertThat;

import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

class HoldingsTest {

  private static Holdings.Holding holding(String host, int free, HeldItem... items) {
    Map<String, HeldItem> byName = new java.util.HashMap<>();
    for (HeldItem item : items) {
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
    long none = holdings.changes("r");
    holdings.told("r", holding("a", 1));
    long first = holdings.changes("r");
    assertThat(first).isNotEqualTo(none);
    holdings.told("r", holding("a", 1));
    assertThat(holdings.changes("r")).isEqualTo(first);
    holdings.told("r", holding("a", 1, new HeldItem("m/a1", 1, 500)));
    long coming = holdings.changes("r");
    assertThat(coming).isNotEqualTo(first);
    holdings.told("r", holding("a", 1, new HeldItem("m/a1", 2, 500)));
    assertThat(holdings.changes("r")).isNotEqualTo(coming);
    holdings.told("r", holding("a", 0, new HeldItem("m/a1", 1, 500)));
    long full = holdings.changes("r");
    assertThat(full).isNotEqualTo(coming);
    holdings.told("r", holding("b", 0, new HeldItem("m/a1", 1, 500)));
    assertThat(holdings.changes("r")).isNotEqualTo(full);
  }
}
