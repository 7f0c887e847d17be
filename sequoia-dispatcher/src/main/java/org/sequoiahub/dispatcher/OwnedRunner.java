package org.sequoiahub.dispatcher;

import org.sequoiahub.core.authority.Authority;
import org.sequoiahub.core.authority.FencedAuthority;
import org.sequoiahub.core.authority.LeasedAuthority;
import org.sequoiahub.core.authority.Rights;
import org.sequoiahub.core.fleet.Fleet.Runner;
import org.sequoiahub.core.runner.PolicySettings;
import org.sequoiahub.core.runner.RunnerController;

/** A runner that this dispatcher owns or claims: its controller, authority and report schedule. */
final class OwnedRunner {

  /**
   * The claim rounds of two authority terms. Granters abstain for one term after their start, so
   * when the whole fleet has just started, the first claims fail although there is no fault.
   */
  private static final int MAX_FAILED_CLAIM_ROUNDS = 6;

  private Runner runner;
  private final RunnerController controller;
  private final Authority authority;
  private boolean reportPending;
  private long nextReportMillis = Long.MIN_VALUE;
  private long lastRequestMillis;
  private long claimRequestedUntilMillis = Long.MIN_VALUE;
  private long claimRequestsRefusedUntilMillis = Long.MIN_VALUE;
  private int failedClaimRounds;
  private boolean wasHeld;

  OwnedRunner(
      Runner runner, PolicySettings policy, long authorityMillis, int fencingTag, long nowMillis) {
    this.runner = runner;
    this.controller = new RunnerController(runner.slots(), runner.batch(), policy);
    this.authority =
        runner.checksFencing()
            ? new FencedAuthority(authorityMillis, fencingTag)
            : new LeasedAuthority(authorityMillis);
    this.lastRequestMillis = nowMillis;
  }

  Runner runner() {
    return runner;
  }

  void runner(Runner changed) {
    runner = changed;
  }

  RunnerController controller() {
    return controller;
  }

  Authority authority() {
    return authority;
  }

  Rights rights(long nowMillis) {
    return authority.rights(nowMillis);
  }

  /** Returns 1 if authority was gained since the previous call, -1 if it was lost, otherwise 0. */
  int authorityChange(long nowMillis) {
    boolean held = rights(nowMillis).held();
    int change = held == wasHeld ? 0 : held ? 1 : -1;
    wasHeld = held;
    return change;
  }

  boolean isReportDue(long nowMillis) {
    return !reportPending && nowMillis >= nextReportMillis;
  }

  void reportRequested(long nowMillis, long periodMillis) {
    reportPending = true;
    nextReportMillis = nowMillis + periodMillis;
  }

  void reportCompleted() {
    reportPending = false;
  }

  void requestReceived(long nowMillis) {
    lastRequestMillis = nowMillis;
  }

  boolean isIdleFor(long millis, long nowMillis) {
    return nowMillis - lastRequestMillis >= millis
        && controller.queued() == 0
        && controller.running() == 0;
  }

  /**
   * Requests that this dispatcher claims the runner, for an entry that cannot reach its owner.
   *
   * @return false if the owner preempted this dispatcher too recently
   */
  boolean requestClaim(long nowMillis, long durationMillis) {
    if (nowMillis < claimRequestsRefusedUntilMillis) {
      return false;
    }
    claimRequestedUntilMillis = nowMillis + durationMillis;
    return true;
  }

  boolean isClaimRequested(long nowMillis) {
    return nowMillis < claimRequestedUntilMillis;
  }

  /**
   * Refuses claim requests for a while, because the owner has reclaimed the runner.
   *
   * <p>If the next request claimed it again, the owner and this dispatcher would alternate. Neither
   * would hold the runner for long enough to establish that an adapter is idle, so nothing could be
   * evicted and requests for other adapters would wait until their deadline.
   */
  void preempted(long nowMillis, long pauseMillis) {
    claimRequestedUntilMillis = Long.MIN_VALUE;
    claimRequestsRefusedUntilMillis = nowMillis + pauseMillis;
  }

  void claimRoundStarted() {
    failedClaimRounds++;
  }

  void claimSucceeded() {
    failedClaimRounds = 0;
  }

  boolean cannotGainAuthority() {
    return failedClaimRounds > MAX_FAILED_CLAIM_ROUNDS;
  }
}
