package org.sequoiahub.core.holding;

import org.sequoiahub.core.call.Target;

/**
 * Demand for an adapter or a base model by the requests that wait for it at one runner.
 *
 * @param model the base model
 * @param adapter the adapter, empty for the model itself
 * @param waiting the number of waiting requests
 * @param inTime the number of them that can still get their first event within their target latency
 * @param priority the priority of the most urgent request; 0 is the most urgent
 */
public record Demand(String model, String adapter, int waiting, int inTime, int priority) {

  /** Returns the sum of this demand and another one for the same adapter. */
  public Demand plus(Demand other) {
    return new Demand(
        model,
        adapter,
        waiting + other.waiting,
        inTime + other.inTime,
        Math.min(priority, other.priority));
  }

  /** Returns the combined name of the model and the adapter. */
  public String target() {
    return Target.of(model, adapter);
  }
}
