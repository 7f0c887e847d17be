package org.sequoiahub.core.allowance;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.List;
import java.util.Map;

/**
 * A host's report of what was spent in the latest slots.
 *
 * @param newestSlot the reporter's own index of the newest slot, which is still incomplete
 * @param slotCount how many slots are reported, up to the newest one
 * @param newestSlotAgeMillis how long before the report the newest slot began
 * @param hostCount how many hosts the report covers, the reporter included
 * @param spent the units spent by workspace, the newest slot first; a workspace that is absent
 *     spent nothing
 */
public record SpendingReport(
    long newestSlot,
    int slotCount,
    long newestSlotAgeMillis,
    int hostCount,
    Map<String, List<Long>> spent) {

  /** Checks the arguments. */
  public SpendingReport {
    checkArgument(slotCount >= 0, "slotCount must not be negative, was %s", slotCount);
    checkArgument(hostCount > 0, "hostCount must be above 0, was %s", hostCount);
    spent = Map.copyOf(spent);
  }
}
