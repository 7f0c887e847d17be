package org.sequoiahub.runtime.settings;

import com.google.common.net.HostAndPort;
import java.util.Optional;

/**
 * An IP address and a port.
 *
 * @param host the IP address
 * @param port the port, from 1 to 65535
 */
public record Endpoint(String host, int port) {

  /** Parses {@code host:port}; empty if {@code text} is not of that form. */
  public static Optional<Endpoint> parse(String text) {
    try {
      HostAndPort parsed = HostAndPort.fromString(text);
      return parsed.hasPort() && parsed.getPort() > 0 && !parsed.getHost().isEmpty()
          ? Optional.of(new Endpoint(parsed.getHost(), parsed.getPort()))
          : Optional.empty();
    } catch (IllegalArgumentException e) {
      return Optional.empty();
    }
  }

  /**
   * Parses {@code host:port} that has been validated before.
   *
   * @throws IllegalArgumentException if {@code text} is not of that form
   */
  public static Endpoint of(String text) {
    return parse(text)
        .orElseThrow(() -> new IllegalArgumentException("must be host:port, was '" + text + "'"));
  }

  @Override
  public String toString() {
    return HostAndPort.fromParts(host, port).toString();
  }
}
