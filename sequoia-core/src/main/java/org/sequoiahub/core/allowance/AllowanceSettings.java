package org.sequoiahub.core.allowance;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Settings for counting the use of workspaces.
 *
 * @param windowMillis how long spending counts against an allowance
 */
public record AllowanceSettings(long windowMillis) {

  /** The settings for a platform that configures none. */
  public static final AllowanceSettings DEFAULT = new AllowanceSettings(8_000);

  /** Checks the arguments. */
  public AllowanceSettings {
    checkArgument(windowMillis >= 1_000, "windowMillis must be 1000 or more, was %s", windowMillis);
  }
}
