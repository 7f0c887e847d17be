package org.sequoiahub.core.record;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * One version of one adapter: the unit that an engine loads and that a request runs on.
 *
 * @param adapter the adapter's name, without {@code @}
 * @param version the version's name, without {@code @}
 */
public record AdapterVersion(String adapter, String version) {

  /** Checks the arguments. */
  public AdapterVersion {
    checkArgument(Names.isValid(adapter), "adapter must be a name, was '%s'", adapter);
    checkArgument(Names.isValid(version), "version must be a name, was '%s'", version);
  }

  /** Returns the name by which engines are asked for this version. */
  public String exactName() {
    return adapter + "@" + version;
  }

  /**
   * Reads an exact name.
   *
   * @throws IllegalArgumentException if {@code exactName} is not of the form adapter@version
   */
  public static AdapterVersion parse(String exactName) {
    int at = exactName.indexOf('@');
    checkArgument(at > 0, "exactName must be adapter@version, was '%s'", exactName);
    return new AdapterVersion(exactName.substring(0, at), exactName.substring(at + 1));
  }
}
