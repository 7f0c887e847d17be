package org.sequoiahub.core.origin;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

import java.util.Optional;
import org.sequoiahub.core.upstream.RunnerEntry;
import org.sequoiahub.core.upstream.SoftwareVersion;

/** Decides where streams of which callers have received events may go on. */
public final class ResumePolicy {

  /**
   * How many times the timeout of its route a stream lasts at most: callers repeat a request a few
   * times, each time within that timeout.
   */
  static final int STREAM_LIFE_TIMEOUTS = 4;

  private final ServiceVersions versions;
  private final RunnerKnowledge knowledge;
  private final long maxWaitMillis;

  /**
   * Creates a policy.
   *
   * @param knowledge as of when the present runners are known
   * @param maxWaitMillis how long a request waits until they are known as of its arrival (ms)
   */
  public ResumePolicy(ServiceVersions versions, RunnerKnowledge knowledge, long maxWaitMillis) {
    this.versions = requireNonNull(versions, "versions must not be null");
    this.knowledge = requireNonNull(knowledge, "knowledge must not be null");
    this.maxWaitMillis = maxWaitMillis;
  }

  /**
   * Decides where a stream may go on.
   *
   * @param origin where the stream began; empty if that is not known
   * @param service the service that the request is routed to now
   * @param present the runners that exist now
   * @param timeoutMillis the timeout of the request's route (ms)
   * @param arrivedMillis when the request arrived (ms); its stream began before
   */
  public ResumeDecision decide(
      Optional<StreamOrigin> origin,
      String service,
      Iterable<RunnerEntry> present,
      long timeoutMillis,
      long arrivedMillis,
      long nowMillis) {
    checkArgument(timeoutMillis > 0, "timeoutMillis must be above 0, was %s", timeoutMillis);
    if (origin.isPresent()) {
      return origin.get().service().equals(service)
          ? new ResumeDecision.OnlyAt(origin.get().version())
          : new ResumeDecision.Nowhere("the stream began at another service");
    }
    Optional<SoftwareVersion> sole =
        versions.soleVersion(service, present, STREAM_LIFE_TIMEOUTS * timeoutMillis, nowMillis);
    if (sole.isEmpty()) {
      return new ResumeDecision.Nowhere(
          "it is not known at which software version the stream began");
    }
    if (knowledge.knownMillis() >= arrivedMillis) {
      return new ResumeDecision.OnlyAt(sole.get());
    }
    if (nowMillis - arrivedMillis >= maxWaitMillis) {
      return new ResumeDecision.Nowhere(
          "it is not known at which software version the stream began, nor which runners exist");
    }
    knowledge.request(nowMillis);
    return new ResumeDecision.NotYet();
  }
}
