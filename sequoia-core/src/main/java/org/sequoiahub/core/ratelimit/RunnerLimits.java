package org.sequoiahub.core.ratelimit;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * The limits that runners have stated, as this host received them or other hosts told it.
 *
 * <p>Of two observations the one received later counts. A limit ends only by a response to a
 * request that was sent after the limit was last observed: the head of an earlier request may have
 * been written before the runner stated the limit. An entry also ends with its runner's
 * incarnation.
 */
public final class RunnerLimits implements PermitTerms {

  /** The limit of a runner that states none (requests per second). */
  public static final double UNLIMITED = Double.POSITIVE_INFINITY;

  /** Maximum number of runners whose limits are kept. */
  public static final int MAX_RUNNERS = 4_096;

  /** A limit that was observed this long ago may have ended (ms). */
  private static final long OUTDATED_MILLIS = 5_000;

  /** Interval after which a limit that is stated again unchanged is reported again (ms). */
  private static final long REFRESH_MILLIS = 500;

  /**
   * How long the end of a limit is kept and told (ms), so that a late report of the limit does not
   * restore it; also how long a limit of a runner without an entry is kept.
   */
  private static final long RETENTION_MILLIS = 30_000;

  private static final double MILLIS_PER_SECOND = 1_000;

  /** Maximum number of sources that are remembered for each runner. */
  private static final int MAX_SOURCES = 512;

  private final long ownSource;
  private final LimitListener listener;
  private final Map<String, Entry> entries = new HashMap<>();
  private long ownSequence;
  private int inForce;

  /** What is known of one runner's limit. */
  private static final class Entry {
    double perSecond = UNLIMITED;
    long source;
    long sequence;
    long observedMillis = Long.MIN_VALUE / 2;
    long sinceMillis;
    boolean fromPeer;

    /** The newest observation that was applied, by source: a report takes several ways. */
    final Map<Long, Long> appliedSequences = new HashMap<>();
  }

  /**
   * A limit in force.
   *
   * @param perSecond the limit (requests per second)
   * @param sinceMillis when this host learned of this value (ms)
   * @param observedMillis when a host last received a response that stated it (ms)
   * @param fromPeer whether the latest such response was received by another host
   */
  public record Limit(double perSecond, long sinceMillis, long observedMillis, boolean fromPeer) {}

  /**
   * Creates an empty table.
   *
   * @param ownSource identifies this process among those of all hosts
   */
  public RunnerLimits(long ownSource, LimitListener listener) {
    this.ownSource = ownSource;
    this.listener = requireNonNull(listener, "listener must not be null");
  }

  /** Returns whether nothing is known of any limit, in force or ended. */
  public boolean isEmpty() {
    return entries.isEmpty();
  }

  /** Returns whether any limit is in force. */
  public boolean isAnyInForce() {
    return inForce > 0;
  }

  /** Returns a runner's limit (requests per second); {@link #UNLIMITED} if it has none. */
  public double perSecond(String runner) {
    Entry entry = entries.get(runner);
    return entry == null ? UNLIMITED : entry.perSecond;
  }

  /** Returns whether a limit of a runner is in force. */
  @Override
  public boolean isLimited(String runner) {
    return perSecond(runner) < UNLIMITED;
  }

  /** Returns whether no host has received a response of a limited runner for some time. */
  @Override
  public boolean isOutdated(String runner, long nowMillis) {
    Entry entry = entries.get(runner);
    return entry != null && nowMillis - entry.observedMillis >= OUTDATED_MILLIS;
  }

  @Override
  public double intervalMillis(String runner) {
    return MILLIS_PER_SECOND / Math.max(PermitIssuer.MIN_PER_SECOND, perSecond(runner));
  }

  /** Returns the limits in force, by runner. */
  public Map<String, Limit> inForce() {
    Map<String, Limit> limits = new HashMap<>();
    entries.forEach(
        (runner, entry) -> {
          if (entry.perSecond < UNLIMITED) {
            limits.put(
                runner,
                new Limit(
                    entry.perSecond, entry.sinceMillis, entry.observedMillis, entry.fromPeer));
          }
        });
    return limits;
  }

  /**
   * Applies the head of a response to a request of this host.
   *
   * @param sentMillis when the request was sent (ms)
   */
  public void observe(String runner, StatedLimit stated, long sentMillis, long nowMillis) {
    requireNonNull(runner, "runner must not be null");
    Entry entry = entries.get(runner);
    if (stated instanceof StatedLimit.Rate rate) {
      boolean refresh =
          entry == null
              || entry.perSecond != rate.perSecond()
              || nowMillis - entry.observedMillis >= REFRESH_MILLIS;
      if (refresh) {
        apply(runner, rate.perSecond(), ownSource, ++ownSequence, false, nowMillis, nowMillis);
      }
    } else if (stated instanceof StatedLimit.None
        && entry != null
        && entry.perSecond < UNLIMITED
        && sentMillis > entry.observedMillis) {
      apply(runner, UNLIMITED, ownSource, ++ownSequence, false, nowMillis, nowMillis);
    }
  }

  /** Applies another host's report. */
  public void merge(LimitReport report, long nowMillis) {
    if (report.source() == ownSource) {
      return;
    }
    Entry entry = entries.get(report.runner());
    long observedMillis = nowMillis - report.ageMillis();
    if (entry != null) {
      if (entry.appliedSequences.getOrDefault(report.source(), -1L) >= report.sequence()) {
        return;
      }
      remember(entry, report.source(), report.sequence());
      boolean newer =
          entry.source == report.source()
              ? report.sequence() > entry.sequence
              : observedMillis > entry.observedMillis;
      if (!newer) {
        return;
      }
    } else if (report.ageMillis() > RETENTION_MILLIS && report.perSecond() == UNLIMITED) {
      return;
    }
    apply(
        report.runner(),
        report.perSecond(),
        report.source(),
        report.sequence(),
        true,
        observedMillis,
        nowMillis);
  }

  private static void remember(Entry entry, long source, long sequence) {
    if (entry.appliedSequences.size() >= MAX_SOURCES) {
      entry.appliedSequences.clear();
    }
    entry.appliedSequences.put(source, sequence);
  }

  private void apply(
      String runner,
      double perSecond,
      long source,
      long sequence,
      boolean fromPeer,
      long observedMillis,
      long nowMillis) {
    @Nullable Entry known = entries.get(runner);
    if (known == null) {
      if (entries.size() >= MAX_RUNNERS) {
        return;
      }
      known = new Entry();
      entries.put(runner, known);
    }
    final double before = known.perSecond;
    known.perSecond = perSecond;
    known.source = source;
    known.sequence = sequence;
    known.fromPeer = fromPeer;
    known.observedMillis = observedMillis;
    remember(known, source, sequence);
    if (before != perSecond) {
      known.sinceMillis = nowMillis;
      inForce += (perSecond < UNLIMITED ? 1 : 0) - (before < UNLIMITED ? 1 : 0);
      listener.limitChanged(runner, before, perSecond, fromPeer, nowMillis);
    }
  }

  /** Returns what this host knows of all limits, for the other hosts. */
  public List<LimitReport> reports(long nowMillis) {
    List<LimitReport> reports = new ArrayList<>(entries.size());
    entries.forEach(
        (runner, entry) ->
            reports.add(
                new LimitReport(
                    runner,
                    entry.perSecond,
                    entry.source,
                    entry.sequence,
                    Math.max(0, nowMillis - entry.observedMillis))));
    return reports;
  }

  /**
   * Removes ended limits and limits of runners that are gone.
   *
   * @param knownRunners the keys of the runners' incarnations that have an entry
   */
  public void removeStaleEntries(Set<String> knownRunners, long nowMillis) {
    checkArgument(nowMillis >= 0, "nowMillis must not be negative, was %s", nowMillis);
    List<String> stale = new ArrayList<>();
    entries.forEach(
        (runner, entry) -> {
          boolean old = nowMillis - entry.observedMillis >= RETENTION_MILLIS;
          boolean ended = entry.perSecond == UNLIMITED;
          if (old && (ended || !knownRunners.contains(runner))) {
            stale.add(runner);
          }
        });
    for (String runner : stale) {
      Entry entry = entries.remove(runner);
      if (entry != null && entry.perSecond < UNLIMITED) {
        inForce--;
        listener.limitChanged(runner, entry.perSecond, UNLIMITED, false, nowMillis);
      }
    }
  }
}
