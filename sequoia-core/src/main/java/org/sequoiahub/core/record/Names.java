package org.sequoiahub.core.record;

import java.util.regex.Pattern;

/** Validates the names of adapters, versions, models, services and teams. */
public final class Names {

  /** Description of a valid name, for error messages. */
  public static final String FORMAT =
      "1 to 128 of A-Z a-z 0-9 . _ -, starting with a letter or digit";

  private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,127}");

  private Names() {}

  /** Returns whether {@code text} is a valid name. */
  public static boolean isValid(String text) {
    return NAME.matcher(text).matches();
  }
}
