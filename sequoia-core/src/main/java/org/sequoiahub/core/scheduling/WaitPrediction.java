package org.sequoiahub.core.scheduling;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.Collection;
import java.util.function.ToLongFunction;
import org.sequoiahub.core.dispatch.Candidate;
import org.sequoiahub.core.dispatch.PlacementSettings;

/**
 * Predicts when a request starts at the runners that it may be sent to, from what is ahead of it
 * there.
 *
 * @param readTokensPerMilli the number of prompt tokens that a runner reads per millisecond
 * @param slotWaitMillis the wait per request ahead that exceeds the runner's slots
 * @param perRequestMillis by how much each request in flight at a runner delays a first event
 */
public record WaitPrediction(
    double readTokensPerMilli, long slotWaitMillis, double perRequestMillis) {

  /** The prediction with the speeds that placement assumes. */
  public static final WaitPrediction DEFAULT =
      new WaitPrediction(
          PlacementSettings.DEFAULT.readTokensPerMilli(),
          PlacementSettings.DEFAULT.slotWaitMillis(),
          PlacementSettings.DEFAULT.perRequestMillis());

  /** Checks the arguments. */
  public WaitPrediction {
    checkArgument(
        readTokensPerMilli > 0, "readTokensPerMilli must be above 0, was %s", readTokensPerMilli);
  }

  /**
   * What a request has to expect at the best of its candidates.
   *
   * @param free whether some candidate has a free slot and nothing waits there
   * @param startMillis the time until a runner starts to read its prompt (ms)
   * @param firstEventMillis the time until its first event (ms)
   */
  public record Outlook(boolean free, double startMillis, double firstEventMillis) {}

  /**
   * Returns the outlook of a request; both times are infinite without candidates.
   *
   * @param tokensBehind the tokens waiting at a candidate that this request precedes
   */
  public Outlook predict(Collection<Candidate> candidates, ToLongFunction<Candidate> tokensBehind) {
    boolean free = false;
    double start = Double.POSITIVE_INFINITY;
    double firstEvent = Double.POSITIVE_INFINITY;
    for (Candidate candidate : candidates) {
      free |= isFree(candidate);
      double startHere = startMillis(candidate, tokensBehind.applyAsLong(candidate));
      double firstEventHere =
          startHere
              + candidate.unreadTokens() / readTokensPerMilli
              + candidate.inFlight() * perRequestMillis;
      start = Math.min(start, startHere);
      firstEvent = Math.min(firstEvent, firstEventHere);
    }
    return new Outlook(free, start, firstEvent);
  }

  private static boolean isFree(Candidate candidate) {
    return candidate.inFlight() < candidate.runner().slots()
        && candidate.queuedAheadTokens() == 0
        && candidate.sendWaitMillis() <= 0;
  }

  private double startMillis(Candidate candidate, long tokensBehind) {
    long queued = Math.max(0, candidate.queuedAheadTokens() - tokensBehind);
    long overSlots = Math.max(0, candidate.inFlight() + 1 - candidate.runner().slots());
    double queueMillis =
        (candidate.unreadAheadTokens() + queued) / readTokensPerMilli
            + (double) overSlots * slotWaitMillis;
    return Math.max(
        queueMillis, (double) Math.max(candidate.adapterWaitMillis(), candidate.sendWaitMillis()));
  }
}
