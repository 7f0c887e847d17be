package org.sequoiahub.core.runnerstate;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The load that a runner states about itself.
 *
 * @param running the number of requests that it processes
 * @param waiting the number of requests that wait for a slot
 * @param slots the number of requests that it processes concurrently
 * @param pacePercent how long work currently takes on its machine, 100 being usual; 0 if it states
 *     none
 */
public record StatedLoad(int running, int waiting, int slots, int pacePercent) {

  /** Checks the arguments. */
  public StatedLoad {
    checkArgument(running >= 0, "running must not be negative, was %s", running);
    checkArgument(waiting >= 0, "waiting must not be negative, was %s", waiting);
    checkArgument(slots >= 0, "slots must not be negative, was %s", slots);
    checkArgument(pacePercent >= 0, "pacePercent must not be negative, was %s", pacePercent);
  }

  /** Returns whether the runner states a pace. */
  public boolean statesPace() {
    return pacePercent > 0;
  }
}
