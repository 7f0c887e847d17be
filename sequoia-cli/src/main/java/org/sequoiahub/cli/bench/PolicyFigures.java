package org.sequoiahub.cli.bench;

import java.util.Locale;
import org.HdrHistogram.Histogram;
import org.sequoiahub.core.record.Priority;

/** Collects the figures of one simulation run: load stalls, waits, loads and batch efficiency. */
final class PolicyFigures {

  private static final long MAX_MILLIS = 3_600_000;

  private final Histogram stalls = new Histogram(MAX_MILLIS, 3);
  private final Histogram interactive = new Histogram(MAX_MILLIS, 3);
  private final Histogram briefs = new Histogram(MAX_MILLIS, 3);
  private long requests;
  private long stalled;
  private long refusedRequests;
  private long loads;
  private long loadsWasted;
  private double requestMillis;
  private double busyBatchMillis;
  private double leastBatchMillis;

  void recordRefused() {
    requests++;
    refusedRequests++;
  }

  /**
   * Counts a request that started.
   *
   * @param waitMillis the time from its arrival to its start
   * @param stallMillis the part of the wait until its adapter was loaded; 0 if it was loaded
   *     already
   */
  void recordStarted(Priority priority, long waitMillis, long stallMillis) {
    requests++;
    stalls.recordValue(Math.min(MAX_MILLIS, stallMillis));
    if (stallMillis > 0) {
      stalled++;
    }
    (priority == Priority.INTERACTIVE ? interactive : briefs)
        .recordValue(Math.min(MAX_MILLIS, waitMillis));
  }

  void recordLoad() {
    loads++;
  }

  /** Counts a load whose adapter was evicted before any request used it. */
  void recordWastedLoad() {
    loadsWasted++;
  }

  /**
   * Adds the utilization of one pool during an interval.
   *
   * @param millis the length of the interval
   * @param running the number of requests that run in the pool
   * @param busyBatch the batch capacity of the runners that run at least one request
   * @param leastBatch the batch capacity of the fewest runners that could run the same requests
   */
  void recordUtilization(long millis, int running, int busyBatch, int leastBatch) {
    requestMillis += (double) millis * running;
    busyBatchMillis += (double) millis * busyBatch;
    leastBatchMillis += (double) millis * leastBatch;
  }

  double stallMeanMillis() {
    return stalls.getTotalCount() == 0 ? 0 : stalls.getMean();
  }

  /** Returns the share of the busy runners' batch capacity that was used, from 0 to 1. */
  double batchEfficiency() {
    return busyBatchMillis == 0 ? 0 : requestMillis / busyBatchMillis;
  }

  /** Returns the batch efficiency on the fewest runners that could run the same requests. */
  double batchEfficiencyBound() {
    return leastBatchMillis == 0 ? 0 : requestMillis / leastBatchMillis;
  }

  long refusedCount() {
    return refusedRequests;
  }

  /** Returns the figures as {@code name=value} pairs on one line. */
  String formatLine() {
    return String.format(
        Locale.ROOT,
        "requests=%d load_stall_mean_ms=%.1f load_stall_p99_ms=%d stalled_share=%.4f"
            + " batch_efficiency=%.4f batch_bound=%.4f loads=%d loads_wasted=%d refused=%d"
            + " interactive_p99_ms=%d brief_p99_ms=%d",
        requests,
        stallMeanMillis(),
        stalls.getValueAtPercentile(99),
        requests == 0 ? 0 : (double) stalled / requests,
        batchEfficiency(),
        batchEfficiencyBound(),
        loads,
        loadsWasted,
        refusedRequests,
        interactive.getValueAtPercentile(99),
        briefs.getValueAtPercentile(99));
  }
}
