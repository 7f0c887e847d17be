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
  private static final int FAILED_ROUNDS_BEFORE_REFUSAL = 6;

  private Runner runner;
  private final RunnerController controller;
  private final Authority authority;
  private boolean reading;
  private long nextReportMillis = Long.MIN_VALUE;
  private long lastAskedMillis;
  private long claimWishedUntilMillis = Long.MIN_VALUE;
  private long noWishBeforeMillis = Long.MIN_VALUE;
  private int failedRounds;
  private boolean wasHeld;

  OwnedRunner(Runner runner, PolicySettings policy, long authorityMillis, int tag, long nowMillis) {
    this.runner = runner;
    this.controller = new RunnerController(runner.slots(), runner.batch(), policy);
    this.authority =
        runner.checksFencing()
            ? new FencedAuthority(authorityMillis, tag)
            : new LeasedAuthority(authorityMillis);
    this.lastAskedMillis = nowMillis;
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

  boolean reportDue(long nowMillis) {
    return !reading && nowMillis >= nextReportMillis;
  }

  void reportAsked(long nowMillis, long periodMillis) {
    reading = true;
    nextReportMillis = nowMillis + periodMillis;
  }

  void reportAnswered() {
    reading = false;
  }

  void asked(long nowMillis) {
    lastAskedMillis = nowMillis;
  }

  boolean isIdleFor(long millis, long nowMillis) {
    return nowMillis - lastAskedMillis >= millis
        && controller.queued() == 0
        && controller.running() == 0;
  }

  /**
   * An entry that cannot reach the runner's owner wants this dispatcher to claim it; false if it
   * was pre-empted too lately.
   */
  boolean wishClaim(long nowMillis, long lastsMillis) {
    if (nowMillis < noWishBeforeMillis) {
      return false;
    }
    claimWishedUntilMillis = nowMillis + lastsMillis;
    return true;
  }

  boolean isClaimWished(long nowMillis) {
    return nowMillis < claimWishedUntilMillis;
  }

  /**
   * The owner took the runner back: leaves it alone for a while. Were it claimed again at the next
   * wish, owner and stand-in would take turns, neither would be alone for long enough to prove an
   * adapter idle, and nothing could be evicted: requests for other adapters would wait in vain.
   */
  void preempted(long nowMillis, long restMillis) {
    claimWishedUntilMillis = Long.MIN_VALUE;
    noWishBeforeMillis = nowMillis + restMillis;
  }

  void claimRoundStarted() {
    failedRounds++;
  }

  void claimSucceeded() {
    failedRounds = 0;
  }

  boolean cannotGainAuthority() {
    return failedRounds > FAILED_ROUNDS_BEFORE_REFUSAL;
  }
}
