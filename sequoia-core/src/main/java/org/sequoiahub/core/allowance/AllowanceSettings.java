package org.sequoiahub.core.allowance;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * How workspaces' use is counted.
 *
 * @param windowMillis for how long what was spent counts against an allowance
 */
public record AllowanceSettings(long windowMillis) {

  /** For a platform that names no bounds. */
  public static final AllowanceSettings DEFAULT = new AllowanceSettings(8_000);

  /** Checks the arguments. */
  public AllowanceSettings {
    checkArgument(windowMillis >= 1_000, "windowMillis must be 1000 or more, was %s", windowMillis);
  }
}
