package org.sequoiahub.core.store;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.Comparator;

/**
 * A position in the history of the store.
 *
 * <p>A store that is restored from an older copy gives revisions out again, for other changes, and
 * begins a new era. Revisions of different eras therefore do not compare; positions do.
 *
 * @param era the era of the store; 0 if the store states none
 * @param revision the store's revision, which grows with each change of an era
 */
public record StorePosition(long era, long revision) implements Comparable<StorePosition> {

  /** The position before all changes. */
  public static final StorePosition NONE = new StorePosition(0, 0);

  private static final Comparator<StorePosition> ORDER =
      Comparator.comparingLong(StorePosition::era).thenComparingLong(StorePosition::revision);

  /** Checks that neither is negative. */
  public StorePosition {
    checkArgument(era >= 0, "era must not be negative, was %s", era);
    checkArgument(revision >= 0, "revision must not be negative, was %s", revision);
  }

  /** Returns whether this position is later than another one. */
  public boolean isAfter(StorePosition other) {
    return compareTo(other) > 0;
  }

  /** Returns whether this position is of a later era than another one. */
  public boolean isOfLaterEra(StorePosition other) {
    return era > other.era;
  }

  /** Returns the later of two positions. */
  public static StorePosition max(StorePosition a, StorePosition b) {
    return a.isAfter(b) ? a : b;
  }

  @Override
  public int compareTo(StorePosition other) {
    return ORDER.compare(this, other);
  }

  /** Returns the era and the revision, separated by a dot. */
  @Override
  public String toString() {
    return era + "." + revision;
  }
}
