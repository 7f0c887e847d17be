package org.sequoiahub.node.call;

import java.util.List;

/**
 * A request, load or prompt part that is quarantined, for operators.
 *
 * @param fingerprint identifies it in the logs of all hosts
 * @param ofPart whether it is a prompt part
 * @param terminations the terminations that decided it, each as runner@age
 * @param forMillis how long it is still quarantined (ms)
 */
public record QuarantineStatus(
    String fingerprint, boolean ofPart, List<String> terminations, long forMillis) {

  /** Copies the list. */
  public QuarantineStatus {
    terminations = List.copyOf(terminations);
  }
}
