package org.sequoiahub.core.workspace;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * A customer of the deployment: who may ask, and what for.
 *
 * @param name its name, which upstreams are told
 * @param priority its rank, 0 first, before that of the route; {@link #ROUTE_DECIDES} if it has
 *     none
 * @param allowance what it may use
 */
public record Workspace(String name, int priority, Allowance allowance) {

  /** The rank of a workspace without one of its own. */
  public static final int ROUTE_DECIDES = -1;

  /** Checks the arguments. */
  public Workspace {
    checkArgument(!name.isEmpty(), "name must not be empty");
    checkArgument(priority >= ROUTE_DECIDES, "priority must not be negative, was %s", priority);
  }
}
