package org.sequoiahub.core.authority;

/**
 * What a dispatcher may do with a runner at one moment.
 *
 * @param held whether authority is held: work may be started, adapters loaded and evicted
 * @param term counts how often authority was gained; it changes whenever another dispatcher may
 *     have used the runner in between
 * @param exclusiveSinceMillis since when no other dispatcher can have held authority; may lie ahead
 */
public record Rights(boolean held, long term, long exclusiveSinceMillis) {
  /** No authority. */
  public static final Rights NONE = new Rights(false, 0, Long.MAX_VALUE / 2);
}
