package org.sequoiahub.core.allowance;

/**
 * The mean cost of a workspace's requests, weighted by cost: the expected cost of the request that
 * a requested unit belongs to.
 */
final class MeanCost {

  /**
   * The factor by which the weight of earlier requests falls with each request, so that the mean
   * follows the mix of some hundred requests.
   */
  private static final double DECAY = 0.99;

  private double squares;
  private double sum;

  /** Records a request, granted or not. */
  void record(long cost) {
    squares = squares * DECAY + (double) cost * cost;
    sum = sum * DECAY + cost;
  }

  /** Returns the cost of a request relative to the mean: near 0 for a small one, at most 1. */
  double relativeCost(long cost) {
    return squares == 0 ? 1 : Math.min(1, cost * sum / squares);
  }
}
