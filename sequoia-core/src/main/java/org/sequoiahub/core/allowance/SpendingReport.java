package org.sequoiahub.core.allowance;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.List;
import java.util.Map;

/**
 * What a host tells of what was spent lately.
 *
 * @param newestSlot the teller's own number of the newest slot told, which has not ended yet
 * @param slotCount how many slots are told, up to that one
 * @param newestSlotAgeMillis how long ago that slot began, when it was told
 * @param hostCount how many hosts spent this, the teller included
 * @param spent by workspace, the newest slot first; a workspace that is absent spent nothing
 */
public record SpendingReport(
    long newestSlot,
    int slotCount,
    long newestSlotAgeMillis,
    int hostCount,
    Map<String, List<Long>> spent) {

  /** Checks the arguments. */
  public SpendingReport {
    checkArgument(slotCount >= 0, "slots must not be negative, was %s", slotCount);
    checkArgument(hostCount > 0, "hosts must be above 0, was %s", hostCount);
    spent = Map.copyOf(spent);
  }
}
