package org.sequoiahub.node;

import java.util.List;
import org.sequoiahub.core.allowance.AllowanceSettings;
import org.sequoiahub.core.retry.RetryBudgetSettings;
import org.sequoiahub.usersplatform.HostSettings;

/** Settings of hosts that open no port and call no store. */
public final class SimulatedHosts {

  private SimulatedHosts() {}

  /** Returns the settings of a host. */
  public static HostSettings settings(
      String host,
      String failureDomain,
      String ip,
      List<String> seeds,
      boolean firstStart,
      int processorPercent) {
    return new HostSettings(
        host,
        failureDomain,
        ip,
        1,
        2,
        3,
        4,
        5,
        seeds,
        firstStart,
        "store:1",
        8_000,
        2_000,
        2_000,
        3_000,
        new RetryBudgetSettings(0.2, 50, 10_000),
        5_000,
        processorPercent,
        AllowanceSettings.DEFAULT);
  }
}
