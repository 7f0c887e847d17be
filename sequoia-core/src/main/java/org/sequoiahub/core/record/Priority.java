package org.sequoiahub.core.record;

/** Priority that decides how soon a request starts. */
public enum Priority {
  /** A user is waiting for the response. */
  INTERACTIVE,
  /** A long document; it may wait, but must not starve. */
  BRIEF
}
