package org.sequoiahub.node.call;

import com.codahale.metrics.MetricRegistry;
import java.util.HashSet;
import java.util.Set;
import org.sequoiahub.core.workspace.Workspace;

/** Counts the requests of each workspace and those that its allowance rejects. */
final class WorkspaceMetrics {

  /**
   * Maximum number of workspaces that are counted by name. Further ones share one name, so that
   * configurations with ever new names do not grow the registry without bound.
   */
  private static final int MAX_NAMED_WORKSPACES = 256;

  private static final String OTHERS = "others";

  private final MetricRegistry metrics;
  private final Set<String> named = new HashSet<>();

  WorkspaceMetrics(MetricRegistry metrics) {
    this.metrics = metrics;
  }

  void countRequest(Workspace workspace) {
    count(workspace, "asked");
  }

  void countAllowanceExceeded(Workspace workspace) {
    count(workspace, "over_allowance");
  }

  private void count(Workspace workspace, String what) {
    boolean known = named.contains(workspace.name());
    if (!known && named.size() < MAX_NAMED_WORKSPACES) {
      known = named.add(workspace.name());
    }
    String name = known ? workspace.name() : OTHERS;
    metrics.counter("workspace." + name + "." + what).inc();
  }
}
