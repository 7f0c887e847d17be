package org.sequoiahub.cli.bench;

import java.util.List;
import java.util.Locale;
import org.sequoiahub.core.record.Priority;
import org.sequoiahub.core.route.RouteSettings;
import org.sequoiahub.core.runner.PolicySettings;

/**
 * A deployment to simulate: its pools, load and settings.
 *
 * @param name the deployment's name
 * @param pools the pools of runners, one for each base model
 * @param loadsPerSecond the rate at which the weight store serves adapter loads
 * @param policy the settings of the runners' decisions
 * @param routing the settings of the choice of a runner
 */
record Deployment(
    String name,
    List<Pool> pools,
    int loadsPerSecond,
    PolicySettings policy,
    RouteSettings routing) {

  /** Adapter versions that an engine holds at once; the requirements only say "a few". */
  static final int SLOTS = 8;

  /** Requests that an engine runs at once. */
  static final int BATCH = 16;

  /**
   * The runners of one base model.
   *
   * @param baseModel the base model's name
   * @param runners the number of runners
   * @param adapters the number of adapters of the base model
   * @param priority the priority of the pool's requests
   * @param requestsPerSecond the mean arrival rate of requests
   * @param serviceMillis the mean time that a request runs on an engine
   */
  record Pool(
      String baseModel,
      int runners,
      int adapters,
      Priority priority,
      double requestsPerSecond,
      double serviceMillis) {}

  /**
   * Returns the deployment with the given name, ignoring case.
   *
   * @throws IllegalArgumentException if no deployment has this name
   */
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
