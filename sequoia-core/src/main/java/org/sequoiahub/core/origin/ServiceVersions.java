package org.sequoiahub.core.origin;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.sequoiahub.core.upstream.RunnerEntry;
import org.sequoiahub.core.upstream.RunnerSightings;
import org.sequoiahub.core.upstream.SoftwareVersion;

/**
 * The software versions of each service's runners that this host has seen, as long as it has
 * watched them without a gap.
 */
public final class ServiceVersions implements RunnerSightings {

  /** Stands for the time since which runners are seen, until all of them have been read. */
  private static final long NOT_READ = Long.MAX_VALUE;

  private final Map<String, Map<SoftwareVersion, Long>> lastSeenMillis = new HashMap<>();
  private long watchedSinceMillis;

  private ServiceVersions(long watchedSinceMillis) {
    this.watchedSinceMillis = watchedSinceMillis;
  }

  /** Creates the history of a host of a fleet that has never run: no stream has begun yet. */
  public static ServiceVersions ofNewFleet() {
    return new ServiceVersions(Long.MIN_VALUE / 2);
  }

  /** Creates the history of a host that has joined or restarted. */
  public static ServiceVersions ofJoinedHost() {
    return new ServiceVersions(NOT_READ);
  }

  @Override
  public void seen(RunnerEntry runner, long nowMillis) {
    lastSeenMillis
        .computeIfAbsent(runner.service(), service -> new HashMap<>())
        .merge(runner.version(), nowMillis, Math::max);
  }

  @Override
  public void allRead(long nowMillis) {
    if (watchedSinceMillis == NOT_READ) {
      watchedSinceMillis = nowMillis;
    }
  }

  @Override
  public void mayHaveMissed(long nowMillis) {
    if (watchedSinceMillis != NOT_READ) {
      watchedSinceMillis = nowMillis;
    }
  }

  /**
   * Returns the only version that a service's runners have had for some time; empty if there were
   * several, or if this host has not watched for so long.
   *
   * @param present the runners that exist now
   * @param forMillis the time (ms)
   */
  public Optional<SoftwareVersion> soleVersion(
      String service, Iterable<RunnerEntry> present, long forMillis, long nowMillis) {
    if (watchedSinceMillis == NOT_READ || nowMillis - watchedSinceMillis < forMillis) {
      return Optional.empty();
    }
    Set<SoftwareVersion> versions = new HashSet<>();
    present.forEach(
        runner -> {
          if (runner.service().equals(service)) {
            versions.add(runner.version());
          }
        });
    lastSeenMillis
        .getOrDefault(service, Map.of())
        .forEach(
            (version, atMillis) -> {
              if (nowMillis - atMillis < forMillis) {
                versions.add(version);
              }
            });
    return versions.size() == 1 ? Optional.of(versions.iterator().next()) : Optional.empty();
  }
}
