package org.sequoiahub.core.allowance;

/** What a unit that is asked for belongs to on average: the size of the requests that cost most. */
final class MeanCost {

  /** Part of the mean that remains with each request: it follows the mix of some hundred. */
  private static final double DECAY = 0.99;

  private double squares;
  private double sum;

  /** Takes in a request, granted or not. */
  void record(long cost) {
    squares = squares * DECAY + (double) cost * cost;
    sum = sum * DECAY + cost;
  }

  /** Returns how large a request is beside the others: near 0 for a small one, at most 1. */
  double relativeCost(long cost) {
    return squares == 0 ? 1 : Math.min(1, cost * sum / squares);
  }
}
