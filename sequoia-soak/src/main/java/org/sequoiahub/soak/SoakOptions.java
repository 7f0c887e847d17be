package org.sequoiahub.soak;

/**
 * Which faults a run injects beside those of every run.
 *
 * @param suspensions whether runners are suspended, and configurations and signals come in bursts
 * @param restores whether the store comes back from older copies
 */
record SoakOptions(boolean suspensions, boolean restores) {

  /** Options without any of the additional faults. */
  static final SoakOptions NONE = new SoakOptions(false, false);
}
