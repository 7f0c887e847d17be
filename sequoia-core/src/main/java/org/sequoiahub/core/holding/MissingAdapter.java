package org.sequoiahub.core.holding;

/**
 * A request that a runner refused because it does not have the adapter.
 *
 * @param cause why the request was sent to the runner
 * @param sinceOrderMillis how long ago the runner accepted the order to load the adapter (ms); 0 if
 *     there was none
 */
public record MissingAdapter(Cause cause, long sinceOrderMillis) {

  /** Why a request was sent to a runner that does not have its adapter. */
  public enum Cause {
    /** The adapter was unloaded, or its unloading ordered, before the request arrived. */
    UNLOADED,
    /** The adapter was expected to be reloaded quickly. */
    RELOAD_LATE,
    /** The adapter was expected from the weight store by now. */
    LOAD_LATE,
    /** The adapter had been ready for a while, according to what is known of the runner. */
    UNEXPECTED
  }
}
