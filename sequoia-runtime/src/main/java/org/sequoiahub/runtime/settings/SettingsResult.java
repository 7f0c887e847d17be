package org.sequoiahub.runtime.settings;

import java.util.List;
import java.util.function.Function;

/**
 * What became of a process's settings.
 *
 * @param <T> the settings message
 */
public sealed interface SettingsResult<T> {

  /** All settings are valid. */
  record Valid<T>(T settings) implements SettingsResult<T> {}

  /** Every problem found, never empty. */
  record Invalid<T>(List<String> problems) implements SettingsResult<T> {
    /** Copies the list. */
    public Invalid {
      problems = List.copyOf(problems);
    }
  }

  /** The text that was asked for by {@code --help} or {@code --version}. */
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
