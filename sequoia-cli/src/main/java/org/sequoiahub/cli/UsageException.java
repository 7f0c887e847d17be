package org.sequoiahub.cli;

/** Thrown if the command line is not valid; the message says what was expected. */
final class UsageException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  UsageException(String message) {
    super(message);
  }
}
