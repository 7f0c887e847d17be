package org.sequoiahub.core.routing;

/** What may be done about a request whose first attempt did not end well. */
public enum RepeatPolicy {
  /** The request is idempotent: it may run again, also beside its first attempt. */
  IDEMPOTENT,
  /** The request changes something: it runs at most once. */
  AT_MOST_ONCE,
  /** The answer is a stream of numbered events that another runner can continue. */
  RESUMABLE_STREAM,
  /** The answer is a stream that cannot be continued: it runs at most once. */
  STREAM;

  /** Returns whether a second run is allowed after a first one of unknown outcome. */
  public boolean allowsRerun() {
    return this == IDEMPOTENT || this == RESUMABLE_STREAM;
  }

  /** Returns whether the answer is a stream of events. */
  public boolean isStream() {
    return this == STREAM || this == RESUMABLE_STREAM;
  }
}
