package org.sequoiahub.runtime.settings;

import java.util.List;
import java.util.function.Function;

/**
 * The result of loading a process's settings.
 *
 * @param <T> the settings message
 */
public sealed interface SettingsResult<T> {

  /** Valid settings. */
  record Valid<T>(T settings) implements SettingsResult<T> {}

  /** Invalid settings with all problems found, at least one. */
  record Invalid<T>(List<String> problems) implements SettingsResult<T> {
    /** Creates a result with a copy of the problems. */
    public Invalid {
      problems = List.copyOf(problems);
    }
  }

  /** The text requested by {@code --help} or {@code --version}. */
  record Information<T>(String text) implements SettingsResult<T> {}

  /** Applies the function that matches this result. */
  default <R> R fold(
      Function<T, R> valid, Function<List<String>, R> invalid, Function<String, R> information) {
    if (this instanceof Valid<T> v) {
      return valid.apply(v.settings());
    }
    if (this instanceof Invalid<T> i) {
      return invalid.apply(i.problems());
    }
    return information.apply(((Information<T>) this).text());
  }
}
