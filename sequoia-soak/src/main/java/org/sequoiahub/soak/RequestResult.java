package org.sequoiahub.soak;

import org.jspecify.annotations.Nullable;

/**
 * The outcome of one request that a caller sent.
 *
 * @param id the request's id
 * @param kind the kind of request, which decides its route
 * @param status the response status; 0 if no complete response was received
 * @param body the response body; null if no complete response was received
 * @param failure why no complete response was received; empty if one was
 * @param host the name of the host that the request was sent to
 * @param deadlineMillis the deadline that the request stated (ms)
 * @param sentNanos when the request was sent, in {@link System#nanoTime()}
 * @param endedNanos when its response ended, in {@link System#nanoTime()}
 */
record RequestResult(
    String id,
    Kind kind,
    int status,
    @Nullable String body,
    String failure,
    String host,
    long deadlineMillis,
    long sentNanos,
    long endedNanos) {

  /** A kind of request, with the route that serves it and whether it may run more than once. */
  enum Kind {
    /** A plain request that may run more than once. */
    PLAIN("/safe/", false, false),
    /** A plain request that runs at most once. */
    PLAIN_ONCE("/unsafe/", false, true),
    /** A stream that another runner may resume. */
    STREAM("/stream/", true, false),
    /** A stream that runs at most once. */
    STREAM_ONCE("/once/", true, true);

    private final String prefix;
    private final boolean stream;
    private final boolean atMostOnce;

    Kind(String prefix, boolean stream, boolean once) {
      this.prefix = prefix;
      this.stream = stream;
      this.atMostOnce = once;
    }

    String prefix() {
      return prefix;
    }

    boolean isStream() {
      return stream;
    }

    boolean runsAtMostOnce() {
      return atMostOnce;
    }
  }

  /** Returns the status, or the kind of failure if no complete response was received. */
  String outcome() {
    return status == 0
        ? failure.replaceAll(":.*", "").replaceAll(".*[.$]", "")
        : Integer.toString(status);
  }

  /** Returns whether the response status states that the request has not run and never will. */
  boolean guaranteesNotRun() {
    return status == 503 || status == 429 || status == 408 || status == 421;
  }
}
