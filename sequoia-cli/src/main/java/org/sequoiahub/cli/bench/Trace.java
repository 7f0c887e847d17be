package org.sequoiahub.cli.bench;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import org.sequoiahub.cli.bench.Deployment.Pool;
import org.sequoiahub.core.record.AdapterVersion;

/** Requests over time, the same for every policy that is given the same seed. */
final class Trace {

  static final long DURATION_MILLIS = 900_000;
  static final long WARM_UP_MILLIS = 180_000;

  private static final double ZIPF_EXPONENT = 1.3;
  private static final double ACTIVITY_CHANGE_SHARE_PER_HOUR = 0.23;
  private static final double MILLIS_PER_HOUR = 3_600_000;

  /** The kinds of trace. */
  enum Kind {
    /** Steady skew. */
    ZIPF,
    /** Half way, cold adapters become the hot ones, without warning. */
    SHIFT,
    /** Within an hour 23% of the adapters wake up or fall idle. */
    WAKE,
    /** The weight store slows to a third for a while, and an engine restarts cold. */
    BROWNOUT
  }

  /**
   * One request.
   *
   * @param atMillis when it arrives
   * @param pool its pool
   * @param adapter the adapter version that it names
   * @param serviceMillis how long it runs
   */
  record Arrival(long atMillis, Pool pool, AdapterVersion adapter, long serviceMillis) {}

  private Trace() {}

  static List<Arrival> generate(Deployment deployment, Kind kind, long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    List<Arrival> arrivals = new ArrayList<>();
    for (Pool pool : deployment.pools()) {
      addArrivals(pool, kind, random.split(), arrivals);
    }
    arrivals.sort(Comparator.comparingLong(Arrival::atMillis));
    return arrivals;
  }

  private static void addArrivals(
      Pool pool, Kind kind, SplittableRandom random, List<Arrival> arrivals) {
    double[] cumulative = cumulativeZipf(pool.adapters());
    int[] adapterOfRank = randomPermutation(pool.adapters(), random);
    boolean shifted = false;
    double nextSwap = Double.POSITIVE_INFINITY;
    double swapMillis = MILLIS_PER_HOUR / (ACTIVITY_CHANGE_SHARE_PER_HOUR * pool.adapters());
    if (kind == Kind.WAKE) {
      nextSwap = exponential(random, swapMillis);
    }
    double at = 0;
    while (true) {
      at += exponential(random, 1_000 / pool.requestsPerSecond());
      if (at >= DURATION_MILLIS) {
        return;
      }
      if (kind == Kind.SHIFT && !shifted && at >= DURATION_MILLIS / 2.0) {
        adapterOfRank = randomPermutation(pool.adapters(), random);
        shifted = true;
      }
      for (; at >= nextSwap; nextSwap += exponential(random, swapMillis)) {
        swapRandomPair(adapterOfRank, random);
      }
      int adapter = adapterOfRank[sampleRank(cumulative, random.nextDouble())];
      AdapterVersion name = new AdapterVersion(pool.baseModel() + "-" + adapter, "1");
      long service = Math.max(20, Math.round(exponential(random, pool.serviceMillis())));
      arrivals.add(new Arrival(Math.round(at), pool, name, service));
    }
  }

  private static double exponential(SplittableRandom random, double mean) {
    return -mean * Math.log(1 - random.nextDouble());
  }

  private static double[] cumulativeZipf(int adapters) {
    double[] cumulative = new double[adapters];
    double sum = 0;
    for (int i = 0; i < adapters; i++) {
      sum += Math.pow(i + 1, -ZIPF_EXPONENT);
      cumulative[i] = sum;
    }
    for (int i = 0; i < adapters; i++) {
      cumulative[i] /= sum;
    }
    return cumulative;
  }

  private static int sampleRank(double[] cumulative, double draw) {
    int at = Arrays.binarySearch(cumulative, draw);
    return Math.min(cumulative.length - 1, at < 0 ? -at - 1 : at);
  }

  private static int[] randomPermutation(int count, SplittableRandom random) {
    int[] order = new int[count];
    for (int i = 0; i < count; i++) {
      int j = random.nextInt(i + 1);
      order[i] = order[j];
      order[j] = i;
    }
    return order;
  }

  private static void swapRandomPair(int[] order, SplittableRandom random) {
    int a = random.nextInt(order.length);
    int b = random.nextInt(order.length);
    int moved = order[a];
    order[a] = order[b];
    order[b] = moved;
  }
}
