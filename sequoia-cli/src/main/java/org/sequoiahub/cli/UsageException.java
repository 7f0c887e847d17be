package org.sequoiahub.cli;

/** The arguments are not valid; the message says what is. */
final class UsageException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  UsageException(String message) {
    super(message);
  }
}
