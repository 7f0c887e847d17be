package org.sequoiahub.core.upstream;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The version of a runner's software, not of its weights or adapters. Versions have no order.
 *
 * @param name the version as the runner states it
 */
public record SoftwareVersion(String name) {

  /** Maximum length of a version (characters): it travels with every stream. */
  private static final int MAX_LENGTH = 128;

  /** Checks the argument. */
  public SoftwareVersion {
    checkArgument(!name.isEmpty(), "a software version must not be empty");
    checkArgument(
        name.length() <= MAX_LENGTH,
        "a software version must have at most %s characters, had %s",
        MAX_LENGTH,
        name.length());
  }

  /** Returns the version with a name. */
  public static SoftwareVersion of(String name) {
    return new SoftwareVersion(name);
  }

  @Override
  public String toString() {
    return name;
  }
}
