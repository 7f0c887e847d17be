package org.sequoiahub.soak;

/**
 * Which faults a run injects beside those of every run.
 *
 * @param suspensions whether runners are suspended, and configurations and signals come in bursts
 * @param restores whether the store comes back from older copies
 * @param shortDeadlines whether callers wait only for fractions of a second, for which hosts are
 *     paused one after the other, and runners close their connections, so that deadlines, connects
 *     and responses fall due together
 */
record SoakOptions(boolean suspensions, boolean restores, boolean shortDeadlines) {

  /** Options without any of the additional faults. */
  static final SoakOptions NONE = new SoakOptions(false, false, false);

  /** Suspended runners, beside bursts of configurations and of signals. */
  static final SoakOptions SUSPENSIONS = new SoakOptions(true, false, false);

  /** Short deadlines beside short pauses of hosts. */
  static final SoakOptions SHORT_DEADLINES = new SoakOptions(false, false, true);
}
