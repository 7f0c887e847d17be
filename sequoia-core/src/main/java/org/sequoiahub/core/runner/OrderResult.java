package org.sequoiahub.core.runner;

/** What became of a load or unload order. */
public enum OrderResult {
  /** The engine says it is done. */
  DONE,
  /** The engine says that it did not do it. */
  FAILED,
  /** No answer: the order may have been done, or may yet be. */
  UNKNOWN
}
