package org.sequoiahub.core.holding;

import org.sequoiahub.core.call.Target;

/**
 * Requests that wait for an adapter or a model at one runner.
 *
 * @param model the base model
 * @param adapter the adapter, empty for the model itself
 * @param waiting how many requests wait
 * @param inTime how many of them can still have their first event within their target latency
 * @param priority the most urgent one's priority, 0 first
 */
public record Demand(String model, String adapter, int waiting, int inTime, int priority) {

  /** Returns this demand together with one of other requests for the same adapter. */
  public Demand plus(Demand other) {
    return new Demand(
        model,
        adapter,
        waiting + other.waiting,
        inTime + other.inTime,
        Math.min(priority, other.priority));
  }

  /** Returns model and adapter as one name. */
  public String target() {
    return Target.of(model, adapter);
  }
}
