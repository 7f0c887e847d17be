package org.sequoiahub.core.record;

/** How soon a request should start. */
public enum Priority {
  /** Somebody waits for the answer. */
  INTERACTIVE,
  /** A long document that may wait, but never for ever. */
  BRIEF
}
