package org.sequoiahub.core.workspace;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * A customer of the deployment, whose callers may send requests within its allowance.
 *
 * @param name the workspace's name, which is sent to upstreams
 * @param priority the priority that takes precedence over the route's, where 0 is the most urgent;
 *     {@link #ROUTE_DECIDES} if the workspace has none
 * @param allowance what the workspace may use
 */
public record Workspace(String name, int priority, Allowance allowance) {

  /** The priority of a workspace that has none of its own. */
  public static final int ROUTE_DECIDES = -1;

  /** Checks the arguments. */
  public Workspace {
    checkArgument(!name.isEmpty(), "name must not be empty");
    checkArgument(
        priority >= ROUTE_DECIDES, "priority must be 0 or more, or -1 for none, was %s", priority);
  }
}
