package org.sequoiahub.core.holding;

import org.sequoiahub.core.call.Target;

/**
 * An order to a runner to load or unload a base model or an adapter.
 *
 * @param operation what to do
 * @param model the base model
 * @param adapter the adapter, empty for the base model itself
 * @param version the adapter's version to load; 0 for the newest
 */
public record Order(Operation operation, String model, String adapter, int version) {

  /** The kind of an order. */
  public enum Operation {
    /** Loads a model or an adapter, or replaces the adapter's version. */
    LOAD,
    /** Unloads a model or an adapter once no request uses it. */
    UNLOAD
  }

  /** Returns the combined name of the model and the adapter. */
  public String target() {
    return Target.of(model, adapter);
  }
}
