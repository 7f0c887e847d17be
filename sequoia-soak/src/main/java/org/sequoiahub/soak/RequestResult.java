package org.sequoiahub.soak;

import org.jspecify.annotations.Nullable;

/**
 * One request of a caller and what came of it.
 *
 * @param id the request's id
 * @param kind what it asks for
 * @param status the answer's status; 0 if there was no whole answer
 * @param body the answer's body; null if there was no whole answer
 */
record RequestResult(String id, Kind kind, int status, @Nullable String body) {

  /** What a request asks for. */
  enum Kind {
    /** A plain request that may run twice. */
    PLAIN("/safe/", false, false),
    /** A plain request that runs once at most. */
    PLAIN_ONCE("/unsafe/", false, true),
    /** A stream that another runner may go on with. */
    STREAM("/stream/", true, false),
    /** A stream that runs once at most. */
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

  /** Returns whether the answer says that the request has not run and never will. */
  boolean guaranteesNotRun() {
    return status == 503 || status == 429 || status == 408 || status == 421;
  }
}
