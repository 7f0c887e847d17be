package org.sequoiahub.core.routing;

import java.util.List;

/**
 * What the runners of a model service are.
 *
 * @param slots requests that one runner processes at once
 * @param cacheTokens prompt and output tokens that fit in its memory
 * @param weightsMb memory for weights and adapters (MB)
 * @param maxAdapters adapters that it holds at most, those on their way included
 * @param loadsPerSecond loads of weights that the weight store allows over all runners
 * @param tokensPerEvent tokens that one event of a stream holds
 * @param models the models that it may hold
 */
public record EngineSpec(
    int slots,
    long cacheTokens,
    double weightsMb,
    int maxAdapters,
    double loadsPerSecond,
    int tokensPerEvent,
    List<ModelSpec> models) {

  /** Copies the list. */
  public EngineSpec {
    models = List.copyOf(models);
  }
}
