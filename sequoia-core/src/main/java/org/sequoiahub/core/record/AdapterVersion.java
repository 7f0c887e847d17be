package org.sequoiahub.core.record;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Identifies one version of an adapter: the unit that an engine loads and that serves a request.
 *
 * @param adapter the adapter's name, without {@code @}
 * @param version the version's name, without {@code @}
 */
public record AdapterVersion(String adapter, String version) {

  /** Validates the components. */
  public AdapterVersion {
    checkArgument(Names.isValid(adapter), "adapter must be a valid name, was '%s'", adapter);
    checkArgument(Names.isValid(version), "version must be a valid name, was '%s'", version);
  }

  /** Returns the name of this version on an engine, of the form adapter@version. */
  public String exactName() {
    return adapter + "@" + version;
  }

  /**
   * Parses an exact name.
   *
   * @throws IllegalArgumentException if {@code exactName} is not of the form adapter@version
   */
  public static AdapterVersion parse(String exactName) {
    int at = exactName.indexOf('@');
    checkArgument(at > 0, "exactName must be adapter@version, was '%s'", exactName);
    return new AdapterVersion(exactName.substring(0, at), exactName.substring(at + 1));
  }
}
