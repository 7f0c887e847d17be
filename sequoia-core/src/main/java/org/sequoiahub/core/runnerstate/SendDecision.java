package org.sequoiahub.core.runnerstate;

import static com.google.common.base.Preconditions.checkArgument;

/** Whether a call may be sent to a runner. */
public sealed interface SendDecision {

  /** Why a call may not be sent now. */
  enum Reason {
    /** The runner leaves. */
    LEAVING,
    /** The runner asked this host to send nothing for some time. */
    BACKOFF,
    /** The runner's rate limit leaves no permit yet. */
    RATE_LIMIT,
    /** All calls that the runner is known to accept at a time are in progress. */
    CAPACITY
  }

  /** The call may be sent now. */
  record Now() implements SendDecision {}

  /**
   * The runner leaves; a request may be sent there only if no other runner can serve it in time.
   *
   * @param leftMillis for how long (ms)
   */
  record LastResort(long leftMillis) implements SendDecision {}

  /**
   * The call may not be sent yet.
   *
   * @param waitMillis the expected time until it may be sent (ms), above 0
   */
  record NotBefore(long waitMillis, Reason reason) implements SendDecision {
    /** Checks the arguments. */
    public NotBefore {
      checkArgument(waitMillis > 0, "waitMillis must be above 0, was %s", waitMillis);
    }
  }

  /** The call must not be sent at all. */
  record Never(Reason reason) implements SendDecision {}

  /** Returns the expected time until the call may be sent (ms); 0 if it may be sent now. */
  default long waitMillis() {
    if (this instanceof NotBefore notBefore) {
      return notBefore.waitMillis;
    }
    return this instanceof Never ? Long.MAX_VALUE : 0;
  }

  /** Returns whether the call must wait for a permit: for the runner's rate, or its capacity. */
  default boolean waitsForPermit() {
    return this instanceof NotBefore notBefore && notBefore.reason != Reason.BACKOFF;
  }
}
