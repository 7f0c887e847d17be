package org.sequoiahub.core.holding;

/**
 * Times that a runner's adapters take.
 *
 * @param loadMillis an adapter from the weight store
 * @param reloadMillis an adapter that the runner held a short while ago
 * @param remembered how many adapters a runner can have dropped and still reload fast
 * @param freeTransit adapters on their way over all runners before each takes longer
 * @param transitPerRunner adapters on their way to one runner at most
 * @param idleMillis how long an adapter must have been unused before it makes way
 * @param modelRetryMillis how long after an order for a model the next one is given
 * @param reportAgeMillis how old a report may be; one read sooner after an order may not show it
 */
public record ShelfSettings(
    long loadMillis,
    long reloadMillis,
    int remembered,
    int freeTransit,
    int transitPerRunner,
    long idleMillis,
    long modelRetryMillis,
    long reportAgeMillis) {

  /**
   * The figures that the users' sheets give: 250 ms a load, a tenth of it for one held recently, 8
   * at full speed over all runners, 4 at a runner, reports up to 200 ms old. {@code idleMillis} is
   * three times the time in which other hosts tell what they have in flight (20 ms); {@code
   * remembered} is a guess below what runners were seen to keep.
   */
  public static final ShelfSettings DEFAULT = new ShelfSettings(250, 25, 32, 8, 4, 60, 5_000, 500);
}
