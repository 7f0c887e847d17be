package org.sequoiahub.runtime.http;

import java.io.IOException;

/** Thrown when a peer sends more data than a valid message may hold between two of its parts. */
public final class UnterminatedDataException extends IOException {

  private static final long serialVersionUID = 1;

  /** Creates an exception with a message for the log. */
  public UnterminatedDataException(String message) {
    super(message);
  }
}
