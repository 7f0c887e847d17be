package org.sequoiahub.core.response;

/** How a connection ended for the receiver of a response. */
public enum ConnectionEnd {
  /** The connection is open. */
  NONE,
  /** The sender closed it. */
  CLOSED,
  /** It was reset, or reading from it failed. */
  RESET,
  /** The receiver closed it, because of a timeout for example. */
  ABANDONED
}
