package org.sequoiahub.core.scheduling;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * A request that waits for a runner, with what its place in the order depends on.
 *
 * @param priority the priority, where 0 is the most urgent
 * @param arrivedMillis when it arrived at this host (ms)
 * @param targetMillis until when its first event has the full value (ms)
 * @param deadlineMillis when its caller gives up without a first event (ms)
 * @param tokens the prompt tokens that a runner would have to read
 * @param workspaceUse the use of its workspace divided by the workspace's fair share; at most 1
 *     within the share, and 0 without workspaces or without shortage
 * @param returned whether this host rejected it before and it returned when it was told to
 */
public record WaitingRequest(
    int priority,
    long arrivedMillis,
    long targetMillis,
    long deadlineMillis,
    int tokens,
    double workspaceUse,
    boolean returned) {

  /** Checks the arguments. */
  public WaitingRequest {
    checkArgument(priority >= 0, "priority must not be negative, was %s", priority);
    checkArgument(tokens >= 0, "tokens must not be negative, was %s", tokens);
    checkArgument(workspaceUse >= 0, "workspaceUse must not be negative, was %s", workspaceUse);
  }

  /** Returns whether its workspace uses more than its fair share while capacity is short. */
  public boolean exceedsShare() {
    return workspaceUse > 1;
  }
}
