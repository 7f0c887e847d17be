package org.sequoiahub.core.holding;

/** A runner's reply to an order. */
public enum OrderReply {
  /** Accepted; the order takes time to complete. */
  ACCEPTED,
  /** Completed, or the runner already held what it was ordered to load. */
  DONE,
  /** Rejected: another order is in progress, or another sender's order was accepted in between. */
  CONFLICT,
  /** Rejected: the address now belongs to another runner. */
  WRONG_RUNNER,
  /** Rejected for another reason. */
  REJECTED,
  /** No reply: the order may have been accepted. */
  UNKNOWN
}
