package org.sequoiahub.core.routing;

import java.util.List;

/**
 * The properties of the runners of a model service.
 *
 * @param slots the number of requests that a runner processes concurrently
 * @param cacheTokens the number of prompt and output tokens that fit in a runner's memory
 * @param weightsMb the memory for weights and adapters (MB)
 * @param maxAdapters the maximum number of adapters that a runner holds, including those being
 *     loaded
 * @param loadsPerSecond the loads of weights per second that the weight store permits over all
 *     runners
 * @param tokensPerEvent the number of tokens in one event of a stream
 * @param models the models that a runner may hold
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
