package org.sequoiahub.core.response;

/** What is known of the process that sent a response, from a question asked after its end. */
public enum SenderState {
  /** The process answered, so it outlived the end of the response. */
  RUNNING,
  /** The process has terminated. */
  TERMINATED,
  /** No answer showed either within the time limit. */
  UNKNOWN
}
