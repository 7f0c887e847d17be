package org.sequoiahub.core.record;

import java.util.regex.Pattern;

/** What may be the name of an adapter, a version, a model, a service or a team. */
public final class Names {

  /** The form of a name, as error messages show it. */
  public static final String FORMAT =
      "1 to 128 of A-Z a-z 0-9 . _ -, starting with a letter or digit";

  private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,127}");

  private Names() {}

  /** Returns whether {@code text} is a valid name. */
  public static boolean isValid(String text) {
    return NAME.matcher(text).matches();
  }
}
