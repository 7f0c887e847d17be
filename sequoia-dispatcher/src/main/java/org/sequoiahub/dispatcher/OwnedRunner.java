package org.sequoiahub.dispatcher;

import org.sequoiahub.core.authority.Authority;
import org.sequoiahub.core.authority.FencedAuthority;
import org.sequoiahub.core.authority.LeasedAuthority;
import org.sequoiahub.core.authority.Rights;
import org.sequoiahub.core.fleet.Fleet.Runner;
import org.sequoiahub.core.runner.PolicySettings;
import org.sequoiahub.core.runner.RunnerController;

/** One runner that this dispatcher owns or claims: its decisions, its authority, its report. */
final class OwnedRunner {

  /**
   * Two terms of claims. Granters that were just started abstain for one term, so after a start of
   * the whole fleet the first claims fail although nothing is wrong.
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

  OwnedRunner(Runner runner, PolicySettings policy, long authorityMillis, int tag, long nowMillis) {
    this.runner = runner;
    this.controller = new RunnerController(runner.slots(), runner.batch(), policy);
    this.authority =
        runner.checksFencing()
            ? new FencedAuthority(authorityMillis, tag)
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

  /** Returns 1 if authority was gained since the last call, -1 if it was lost, else 0. */
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
   * An entry that cannot reach the runner's owner wants this dispatcher to claim it; false if it
   * was pre-empted too lately.
   */
  boolean requestClaim(long nowMillis, long lastsMillis) {
    if (nowMillis < claimRequestsRefusedUntilMillis) {
      return false;
    }
    claimRequestedUntilMillis = nowMillis + lastsMillis;
    return true;
  }

  boolean isClaimRequested(long nowMillis) {
    return nowMillis < claimRequestedUntilMillis;
  }

  /**
   * The owner took the runner back: leaves it alone for a while. Were it claimed again at the next
   * wish, owner and stand-in would take turns, neither would be alone for long enough to prove an
   * adapter idle, and nothing could be evicted: requests for other adapters would wait in vain.
   */
  void preempted(long nowMillis, long restMillis) {
    claimRequestedUntilMillis = Long.MIN_VALUE;
    claimRequestsRefusedUntilMillis = nowMillis + restMillis;
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
