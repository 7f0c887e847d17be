package org.sequoiahub.core.call;

/** The name of a model or of a model's adapter, such as {@code m0} or {@code m0/a17}. */
public final class Target {

  private static final char SEPARATOR = '/';

  private Target() {}

  /** Returns the name of an adapter, or of the model itself if {@code adapter} is empty. */
  public static String of(String model, String adapter) {
    return adapter.isEmpty() ? model : model + SEPARATOR + adapter;
  }

  /** Returns the model of a target. */
  public static String model(String target) {
    int separator = target.indexOf(SEPARATOR);
    return separator < 0 ? target : target.substring(0, separator);
  }

  /** Returns the adapter's name within its model; empty if the target is a model. */
  public static String adapter(String target) {
    int separator = target.indexOf(SEPARATOR);
    return separator < 0 ? "" : target.substring(separator + 1);
  }
}
