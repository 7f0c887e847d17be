package org.sequoiahub.core.authority;

/**
 * The authority that a dispatcher holds over a runner at one moment.
 *
 * @param held whether authority is held, so that the dispatcher may start work and load or evict
 *     adapters
 * @param term the number of times that authority was acquired; a change means that another
 *     dispatcher may have used the runner in between
 * @param exclusiveSinceMillis the time from which no other dispatcher can hold authority; may be in
 *     the future
 */
public record Rights(boolean held, long term, long exclusiveSinceMillis) {
  /** The state in which no authority is held. */
  public static final Rights NONE = new Rights(false, 0, Long.MAX_VALUE / 2);
}
