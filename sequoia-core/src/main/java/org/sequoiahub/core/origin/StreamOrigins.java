package org.sequoiahub.core.origin;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Remembers where streams began, for a limited time and a limited number of streams.
 *
 * <p>A key that is recorded with two origins has none, as two streams cannot be told apart.
 */
public final class StreamOrigins {

  private final int capacity;
  private final long retentionMillis;

  /** In the order of their recording. */
  private final Map<StreamKey, Recorded> recorded = new LinkedHashMap<>();

  private record Recorded(Optional<StreamOrigin> origin, long atMillis) {}

  /**
   * Creates an empty memory.
   *
   * @param capacity the maximum number of streams; the oldest are forgotten first
   * @param retentionMillis how long a stream is remembered (ms)
   */
  public StreamOrigins(int capacity, long retentionMillis) {
    checkArgument(capacity > 0, "capacity must be above 0, was %s", capacity);
    checkArgument(retentionMillis > 0, "retentionMillis must be above 0, was %s", retentionMillis);
    this.capacity = capacity;
    this.retentionMillis = retentionMillis;
  }

  /** Records where a stream began. */
  public void record(StreamKey key, StreamOrigin origin, long nowMillis) {
    removeExpired(nowMillis);
    Recorded known = recorded.get(key);
    if (known == null) {
      if (recorded.size() >= capacity) {
        Iterator<StreamKey> oldest = recorded.keySet().iterator();
        oldest.next();
        oldest.remove();
      }
      recorded.put(key, new Recorded(Optional.of(origin), nowMillis));
    } else if (!known.origin.equals(Optional.of(origin))) {
      recorded.put(key, new Recorded(Optional.empty(), known.atMillis));
    }
  }

  /** Returns whether a stream is remembered, also if it has two origins. */
  public boolean isKnown(StreamKey key, long nowMillis) {
    return remembered(key, nowMillis).isPresent();
  }

  /** Returns where a stream began; empty if that is not known, or ambiguous. */
  public Optional<StreamOrigin> find(StreamKey key, long nowMillis) {
    return remembered(key, nowMillis).flatMap(Recorded::origin);
  }

  private Optional<Recorded> remembered(StreamKey key, long nowMillis) {
    return Optional.ofNullable(recorded.get(key))
        .filter(known -> nowMillis - known.atMillis < retentionMillis);
  }

  /** Returns the number of streams that are remembered. */
  public int size() {
    return recorded.size();
  }

  private void removeExpired(long nowMillis) {
    Iterator<Recorded> oldest = recorded.values().iterator();
    while (oldest.hasNext() && nowMillis - oldest.next().atMillis >= retentionMillis) {
      oldest.remove();
    }
  }
}
