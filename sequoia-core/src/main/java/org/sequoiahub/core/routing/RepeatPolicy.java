package org.sequoiahub.core.routing;

/** Policy on whether a request whose first attempt did not succeed may run again. */
public enum RepeatPolicy {
  /** The request is idempotent: it may run again, also concurrently with its first attempt. */
  IDEMPOTENT,
  /** The request has side effects: it runs at most once. */
  AT_MOST_ONCE,
  /** The response is a stream of numbered events that another runner can continue. */
  RESUMABLE_STREAM,
  /** The response is a stream that cannot be continued: the request runs at most once. */
  STREAM;

  /** Returns whether the request may run again after an attempt of unknown outcome. */
  public boolean allowsRerun() {
    return this == IDEMPOTENT || this == RESUMABLE_STREAM;
  }

  /** Returns whether the response is a stream of events. */
  public boolean isStream() {
    return this == STREAM || this == RESUMABLE_STREAM;
  }
}
