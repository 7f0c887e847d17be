package org.sequoiahub.cli.bench;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import org.sequoiahub.cli.bench.Deployment.Pool;
import org.sequoiahub.core.record.AdapterVersion;

/**
 * Generates the requests of a simulation. The same deployment, kind and seed give the same
 * requests, so that policies are compared on equal load.
 */
final class Trace {

  /** Virtual time that a trace covers. */
  static final long DURATION_MILLIS = 900_000;

  /** Initial part of the trace that the figures leave out. */
  static final long WARM_UP_MILLIS = 180_000;

  private static final double ZIPF_EXPONENT = 1.3;
  private static final double ACTIVITY_CHANGE_SHARE_PER_HOUR = 0.23;
  private static final double MILLIS_PER_HOUR = 3_600_000;

  /** The kinds of trace. */
  enum Kind {
    /** Adapter popularity follows a fixed Zipf distribution. */
    ZIPF,
    /** Halfway through, popularity is reassigned without warning: cold adapters become hot. */
    SHIFT,
    /** Adapters become active or idle one by one, 23% of them within an hour. */
    WAKE,
    /** The weight store slows to a third of its rate for a while, and an engine restarts empty. */
    BROWNOUT
  }

  /**
   * A request and its arrival time.
   *
   * @param atMillis when the request arrives, in virtual time
   * @param pool the pool that serves the adapter's base model
   * @param adapter the requested adapter version
   * @param serviceMillis how long the request runs on the engine
   */
  record Arrival(long atMillis, Pool pool, AdapterVersion adapter, long serviceMillis) {}

  private Trace() {}

  /** Returns the requests to all pools of a deployment, in order of arrival. */
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
    double nextSwapMillis = Double.POSITIVE_INFINITY;
    double meanSwapIntervalMillis =
        MILLIS_PER_HOUR / (ACTIVITY_CHANGE_SHARE_PER_HOUR * pool.adapters());
    if (kind == Kind.WAKE) {
      nextSwapMillis = exponential(random, meanSwapIntervalMillis);
    }
    double atMillis = 0;
    while (true) {
      atMillis += exponential(random, 1_000 / pool.requestsPerSecond());
      if (atMillis >= DURATION_MILLIS) {
        return;
      }
      if (kind == Kind.SHIFT && !shifted && atMillis >= DURATION_MILLIS / 2.0) {
        adapterOfRank = randomPermutation(pool.adapters(), random);
        shifted = true;
      }
      for (;
          atMillis >= nextSwapMillis;
          nextSwapMillis += exponential(random, meanSwapIntervalMillis)) {
        swapRandomPair(adapterOfRank, random);
      }
      int adapter = adapterOfRank[sampleRank(cumulative, random.nextDouble())];
      AdapterVersion version = new AdapterVersion(pool.baseModel() + "-" + adapter, "1");
      long serviceMillis = Math.max(20, Math.round(exponential(random, pool.serviceMillis())));
      arrivals.add(new Arrival(Math.round(atMillis), pool, version, serviceMillis));
    }
  }

  /** Draws from an exponential distribution. */
  private static double exponential(SplittableRandom random, double mean) {
    return -mean * Math.log(1 - random.nextDouble());
  }

  /** Returns the cumulative distribution of popularity over the adapters' ranks. */
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
    int index = Arrays.binarySearch(cumulative, draw);
    return Math.min(cumulative.length - 1, index < 0 ? -index - 1 : index);
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
    int swapped = order[a];
    order[a] = order[b];
    order[b] = swapped;
  }
}
