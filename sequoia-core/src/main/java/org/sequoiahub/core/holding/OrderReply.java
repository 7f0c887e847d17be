package org.sequoiahub.core.holding;

/** A runner's reply to an order. */
public enum OrderReply {
  /** Accepted; it takes time. */
  ACCEPTED,
  /** Done, or it held already. */
  DONE,
  /** Not accepted: another order is in progress, or somebody else gave an order in between. */
  CONFLICT,
  /** Not accepted: another runner has the address now. */
  WRONG_RUNNER,
  /** Not accepted for another reason. */
  REJECTED,
  /** No reply: it may have been accepted. */
  UNKNOWN
}
