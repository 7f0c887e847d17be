package org.sequoiahub.cli.bench;

import java.util.List;
import java.util.Locale;
import org.sequoiahub.core.record.Priority;
import org.sequoiahub.core.route.RouteSettings;
import org.sequoiahub.core.runner.PolicySettings;

/**
 * The sizes of one of the brief's deployments.
 *
 * @param name its name
 * @param pools its pools of runners
 * @param loadsPerSecond what the weight store allows
 * @param policy the weights of the runners' decisions
 * @param routing the weights of the choice of a runner
 */
record Deployment(
    String name,
    List<Pool> pools,
    int loadsPerSecond,
    PolicySettings policy,
    RouteSettings routing) {

  /** Adapter versions that an engine holds at once; the brief says "a few". */
  static final int SLOTS = 8;

  /** Requests that an engine runs at once. */
  static final int BATCH = 16;

  /**
   * The runners of one base model.
   *
   * @param baseModel its name
   * @param runners how many
   * @param adapters how many adapters share it
   * @param priority the priority of its requests
   * @param requestsPerSecond the offered load
   * @param serviceMillis the mean time that a request runs
   */
  record Pool(
      String baseModel,
      int runners,
      int adapters,
      Priority priority,
      double requestsPerSecond,
      double serviceMillis) {}

  static Deployment forName(String name) {
    return switch (name.toLowerCase(Locale.ROOT)) {
      case "ashcombe" ->
          new Deployment(
              "ashcombe",
              List.of(
                  new Pool("scripts", 8, 1_500, Priority.BRIEF, 3, 10_000),
                  new Pool("bookings", 4, 1_500, Priority.INTERACTIVE, 8, 600)),
              3,
              PolicySettings.ashcombe(),
              RouteSettings.ashcombe());
      case "dhuwaan" ->
          new Deployment(
              "dhuwaan",
              List.of(
                  new Pool("plans", 13, 1_500, Priority.BRIEF, 6, 10_000),
                  new Pool("crews", 4, 1_500, Priority.INTERACTIVE, 8, 600)),
              4,
              PolicySettings.dhuwaan(),
              RouteSettings.dhuwaan());
      default ->
          throw new IllegalArgumentException(
              "--deployment must be ashcombe or dhuwaan, was '" + name + "'");
    };
  }
}
