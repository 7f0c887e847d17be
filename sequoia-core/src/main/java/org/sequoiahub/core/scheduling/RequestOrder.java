package org.sequoiahub.core.scheduling;

/**
 * The order in which waiting requests are sent.
 *
 * <p>Each request has a due time: its target, or a later time once the target has passed, plus
 * allowances for its class, its size and the use of its workspace. The earliest due time is first.
 * All allowances are bounded, so a request precedes everything that arrives later by more than
 * their sum; no class, size or workspace starves.
 */
public final class RequestOrder {

  /**
   * By how much each step of priority postpones a request (ms). It exceeds the other allowances
   * together, so that a class precedes the less urgent ones unless these have waited longer.
   */
  static final long PRIORITY_STEP_MILLIS = 6_000;

  /** Number of priority steps that count; beyond it, a class would starve. */
  static final int MAX_PRIORITY_STEPS = 4;

  /**
   * By how much a request past its target is postponed (ms): it has lost most of its value, and
   * yields to requests that can still be on time.
   */
  static final long LATE_MILLIS = 2_000;

  /** By how much a token postpones a request (ms): its reading time at 35 tokens/ms. */
  static final double MILLIS_PER_TOKEN = 1 / 35.0;

  /** Longest postponement by size (ms): the reading time of 35,000 tokens. */
  static final long MAX_SIZE_MILLIS = 1_000;

  /** By how much a workspace at twice its share is postponed (ms). */
  static final long OVERUSE_MILLIS = 1_000;

  /** Longest postponement by the use of the workspace (ms). */
  static final long MAX_OVERUSE_MILLIS = 2_000;

  /**
   * By how much a request that returned is advanced (ms): more than the difference in size and
   * target among requests of its class, less than a step of priority.
   */
  static final long RETURNED_MILLIS = 4_000;

  private RequestOrder() {}

  /**
   * Compares two requests; negative if the first one is to be sent first. For a given time it is a
   * total preorder.
   */
  public static int compare(WaitingRequest a, WaitingRequest b, long nowMillis) {
    int byDueTime = Double.compare(dueMillis(a, nowMillis), dueMillis(b, nowMillis));
    return byDueTime != 0 ? byDueTime : Long.compare(a.arrivedMillis(), b.arrivedMillis());
  }

  private static double dueMillis(WaitingRequest request, long nowMillis) {
    long late = nowMillis < request.targetMillis() ? 0 : LATE_MILLIS;
    double over = Math.max(0, request.workspaceUse() - 1) * OVERUSE_MILLIS;
    return Math.min(request.targetMillis() + late, request.deadlineMillis())
        + Math.min(request.priority(), MAX_PRIORITY_STEPS) * (double) PRIORITY_STEP_MILLIS
        + Math.min(MAX_SIZE_MILLIS, request.tokens() * MILLIS_PER_TOKEN)
        + Math.min(MAX_OVERUSE_MILLIS, over)
        - (request.returned() ? RETURNED_MILLIS : 0);
  }
}
