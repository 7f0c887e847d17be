package org.sequoiahub.core.routing;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import net.jqwik.api.constraints.StringLength;
import net.jqwik.api.constraints.UniqueElements;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sequoiahub.core.workspace.Workspaces;

class RoutingTableTest {

  private static Route route(String name, String host, String prefix) {
    return new Route(
        name,
        host,
        prefix,
        RepeatPolicy.IDEMPOTENT,
        1_000,
        100,
        0,
        List.of(new WeightedService("s", 1)),
        1,
        0,
        false);
  }

  private static RoutingTable table(List<Route> routes) {
    return new RoutingTable(1, routes, List.of(), CallerLimits.UNKNOWN, Workspaces.NONE);
  }

  /** Compares the table with a linear search of all routes for the longest prefix. */
  @Property(tries = 1_000, seed = "20261213")
  void findsTheLongestPrefix(
      @ForAll @Size(max = 8) @UniqueElements
          List<@StringLength(max = 4) @net.jqwik.api.constraints.Chars({'a', '/'}) String> names,
      @ForAll @StringLength(max = 6) @net.jqwik.api.constraints.Chars({'a', '/'}) String tail) {
    List<Route> routes = new ArrayList<>();
    names.forEach(name -> routes.add(route(name, "h", ("/" + name + "/").replace("//", "/"))));
    String path = "/" + tail;
    int longest = -1;
    for (Route route : routes) {
      if (path.startsWith(route.prefix())) {
        longest = Math.max(longest, route.prefix().length());
      }
    }
    Optional<Route> found = table(routes).find("H", path);
    assertThat(found.map(route -> route.prefix().length()).orElse(-1)).isEqualTo(longest);
  }

  @Nested
  class Splits {
    @Test
    void followTheWeights() {
      Route split =
          new Route(
              "r",
              "h",
              "/a/",
              RepeatPolicy.IDEMPOTENT,
              1_000,
              100,
              0,
              List.of(new WeightedService("most", 90), new WeightedService("few", 10)),
              1,
              0,
              false);
      assertThat(split.selectService(0)).isEqualTo("most");
      assertThat(split.selectService(0.899)).isEqualTo("most");
      assertThat(split.selectService(0.901)).isEqualTo("few");
      assertThat(split.selectService(0.999)).isEqualTo("few");
    }

    @Test
    void serviceWithoutWeightReceivesNoRequests() {
      Route split =
          new Route(
              "r",
              "h",
              "/a/",
              RepeatPolicy.IDEMPOTENT,
              1_000,
              100,
              0,
              List.of(new WeightedService("none", 0), new WeightedService("all", 5)),
              1,
              0,
              false);
      assertThat(split.selectService(0)).isEqualTo("all");
    }
  }

  @Test
  void routesAreSeparatePerHost() {
    RoutingTable table = table(List.of(route("r", "one", "/a/")));
    assertThat(table.find("two", "/a/b")).isEmpty();
    assertThat(table.find("one", "/b/")).isEmpty();
  }
}
