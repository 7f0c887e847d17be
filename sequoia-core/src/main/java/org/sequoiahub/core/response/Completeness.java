package org.sequoiahub.core.response;

/** Whether a response is complete. */
public sealed interface Completeness {

  /** All of the response was received. */
  record Complete() implements Completeness {}

  /**
   * The response was broken off.
   *
   * @param reason what shows it
   */
  record Truncated(String reason) implements Completeness {}

  /** The verdict on a complete response. */
  Completeness COMPLETE = new Complete();

  /** Returns whether all of the response was received. */
  default boolean isComplete() {
    return this instanceof Complete;
  }
}
