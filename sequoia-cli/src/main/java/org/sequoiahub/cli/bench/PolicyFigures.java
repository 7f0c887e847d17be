package org.sequoiahub.cli.bench;

import java.util.Locale;
import org.HdrHistogram.Histogram;
import org.sequoiahub.core.record.Priority;

/** What one run of a policy came to. */
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

  void recordWastedLoad() {
    loadsWasted++;
  }

  /**
   * Adds a stretch of time of one pool.
   *
   * @param running requests that run in the pool
   * @param busyBatch the batches' places on runners that run anything
   * @param leastBatch the places on the fewest runners that could hold the same requests
   */
  void recordUtilization(long millis, int running, int busyBatch, int leastBatch) {
    requestMillis += (double) millis * running;
    busyBatchMillis += (double) millis * busyBatch;
    leastBatchMillis += (double) millis * leastBatch;
  }

  double stallMeanMillis() {
    return stalls.getTotalCount() == 0 ? 0 : stalls.getMean();
  }

  double batchEfficiency() {
    return busyBatchMillis == 0 ? 0 : requestMillis / busyBatchMillis;
  }

  double batchEfficiencyBound() {
    return leastBatchMillis == 0 ? 0 : requestMillis / leastBatchMillis;
  }

  long refusedCount() {
    return refusedRequests;
  }

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
