package org.sequoiahub.core.origin;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

import java.util.Optional;
import java.util.function.LongSupplier;
import org.sequoiahub.core.upstream.RunnerEntry;

/** Decides where streams of which callers have received events may go on. */
public final class ResumePolicy {

  /**
   * How many times the timeout of its route a stream lasts at most, over all tries of its caller.
   */
  private static final int STREAM_LIFE_TIMEOUTS = 2;

  private final ServiceVersions versions;
  private final LongSupplier runnersKnownMillis;
  private final long maxRunnersAgeMillis;

  /**
   * Creates a policy.
   *
   * @param runnersKnownMillis returns as of when the present runners are known (ms)
   * @param maxRunnersAgeMillis the age from which on they do not show that there is a single
   *     version (ms)
   */
  public ResumePolicy(
      ServiceVersions versions, LongSupplier runnersKnownMillis, long maxRunnersAgeMillis) {
    this.versions = requireNonNull(versions, "versions must not be null");
    this.runnersKnownMillis =
        requireNonNull(runnersKnownMillis, "runnersKnownMillis must not be null");
    this.maxRunnersAgeMillis = maxRunnersAgeMillis;
  }

  /**
   * Decides where a stream may go on.
   *
   * @param origin where the stream began; empty if that is not known
   * @param service the service that the request is routed to now
   * @param present the runners that exist now
   * @param timeoutMillis the timeout of the request's route (ms)
   */
  public ResumeDecision decide(
      Optional<StreamOrigin> origin,
      String service,
      Iterable<RunnerEntry> present,
      long timeoutMillis,
      long nowMillis) {
    checkArgument(timeoutMillis > 0, "timeoutMillis must be above 0, was %s", timeoutMillis);
    if (origin.isPresent()) {
      return origin.get().service().equals(service)
          ? new ResumeDecision.OnlyAt(origin.get().version())
          : new ResumeDecision.Nowhere("the stream began at another service");
    }
    if (nowMillis - runnersKnownMillis.getAsLong() > maxRunnersAgeMillis) {
      return new ResumeDecision.Nowhere(
          "it is not known at which software version the stream began, nor which runners exist");
    }
    return versions
        .soleVersion(service, present, STREAM_LIFE_TIMEOUTS * timeoutMillis, nowMillis)
        .<ResumeDecision>map(ResumeDecision.OnlyAt::new)
        .orElseGet(
            () ->
                new ResumeDecision.Nowhere(
                    "it is not known at which software version the stream began"));
  }
}
