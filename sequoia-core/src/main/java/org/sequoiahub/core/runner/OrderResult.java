package org.sequoiahub.core.runner;

/** The result of a load or unload order. */
public enum OrderResult {
  /** The engine confirmed that it executed the order. */
  DONE,
  /** The engine reported that it did not execute the order. */
  FAILED,
  /** No response: the order may have been executed, or may still be. */
  UNKNOWN
}
