package org.sequoiahub.core.operation;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Identifies a non-idempotent operation and the only dispatcher incarnation that may run it.
 *
 * @param host the host of the dispatcher that minted the id
 * @param incarnation that dispatcher's incarnation: a random number drawn when it started
 * @param sequence the dispatcher's sequence number, starting at 1
 */
public record OperationId(String host, long incarnation, long sequence) {

  private static final Pattern ID_PATTERN =
      Pattern.compile("op1:([A-Za-z0-9][A-Za-z0-9._-]{0,127}):([0-9a-f]{16}):([1-9][0-9]{0,17})");

  /** Validates the components. */
  public OperationId {
    checkArgument(!host.isEmpty(), "host must not be empty");
    checkArgument(sequence > 0, "sequence must be above 0, was %s", sequence);
  }

  /** Parses an id; returns empty if {@code text} is not in the format of {@link #toString}. */
  public static Optional<OperationId> parse(String text) {
    Matcher matcher = ID_PATTERN.matcher(text);
    if (!matcher.matches()) {
      return Optional.empty();
    }
    return Optional.of(
        new OperationId(
            matcher.group(1),
            Long.parseUnsignedLong(matcher.group(2), 16),
            Long.parseLong(matcher.group(3))));
  }

  @Override
  public String toString() {
    return String.format("op1:%s:%016x:%d", host, incarnation, sequence);
  }
}
