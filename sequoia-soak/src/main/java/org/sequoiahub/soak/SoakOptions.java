package org.sequoiahub.soak;

/**
 * Which faults a run injects beside those of every run.
 *
 * @param suspensions whether runners are suspended, and configurations and signals come in bursts
 */
record SoakOptions(boolean suspensions) {

  /** Options without any of the additional faults. */
  static final SoakOptions NONE = new SoakOptions(false);
}
