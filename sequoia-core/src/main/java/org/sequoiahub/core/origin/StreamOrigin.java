package org.sequoiahub.core.origin;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

import org.sequoiahub.core.upstream.SoftwareVersion;

/**
 * The runners that may contribute events to a stream.
 *
 * @param service the service of the runner that made the first event
 * @param version the version of that runner's software
 */
public record StreamOrigin(String service, SoftwareVersion version) {

  /** Checks the arguments. */
  public StreamOrigin {
    checkArgument(!service.isEmpty(), "service must not be empty");
    requireNonNull(version, "version must not be null");
  }
}
