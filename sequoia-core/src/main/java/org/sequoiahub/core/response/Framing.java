package org.sequoiahub.core.response;

/** What marks the end of a response's body. */
public enum Framing {
  /** The response has no body, by its status or by the method of its request. */
  NO_BODY,
  /** The body has the stated number of bytes. */
  LENGTH,
  /** The body ends with its last chunk. */
  CHUNKS,
  /** The body ends with its connection. */
  CONNECTION_END
}
