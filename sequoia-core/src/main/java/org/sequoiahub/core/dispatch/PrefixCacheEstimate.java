package org.sequoiahub.core.dispatch;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.sequoiahub.core.call.Generation;
import org.sequoiahub.core.call.PromptPart;

/**
 * Estimates which prompt prefixes one runner has cached of the prompts that this host sent there.
 *
 * <p>A part is reused only for the same model and adapter and if all preceding parts are cached
 * too, so a part is identified by everything up to its end. The least recently used parts are
 * evicted.
 */
public final class PrefixCacheEstimate {

  private final long capacityTokens;
  private final LinkedHashMap<String, Integer> parts = new LinkedHashMap<>(16, 0.75f, true);
  private long tokens;

  /**
   * Creates an estimate without cached parts.
   *
   * @param capacityTokens the number of tokens that the runner is assumed to cache
   */
  public PrefixCacheEstimate(long capacityTokens) {
    checkArgument(capacityTokens > 0, "capacityTokens must be above 0, was %s", capacityTokens);
    this.capacityTokens = capacityTokens;
  }

  /** Returns the estimated number of prompt tokens that are not in the runner's prefix cache. */
  public int unreadTokens(Generation generation) {
    int known = 0;
    StringBuilder key = new StringBuilder(generation.target());
    for (PromptPart part : generation.parts()) {
      key.append('|').append(part.id());
      if (!parts.containsKey(key.toString())) {
        break;
      }
      known += part.tokens();
    }
    return Math.max(0, generation.promptTokens() - known);
  }

  /** Records that the runner reads this prompt. */
  public void recordRead(Generation generation) {
    StringBuilder key = new StringBuilder(generation.target());
    for (PromptPart part : generation.parts()) {
      key.append('|').append(part.id());
      if (parts.put(key.toString(), part.tokens()) == null) {
        tokens += part.tokens();
      }
    }
    Iterator<Map.Entry<String, Integer>> oldest = parts.entrySet().iterator();
    while (tokens > capacityTokens && oldest.hasNext()) {
      tokens -= oldest.next().getValue();
      oldest.remove();
    }
  }

  /** Removes the parts of a model or adapter that the runner unloaded. */
  public void forget(String target) {
    Iterator<Map.Entry<String, Integer>> each = parts.entrySet().iterator();
    while (each.hasNext()) {
      Map.Entry<String, Integer> part = each.next();
      if (part.getKey().startsWith(target + "|")) {
        tokens -= part.getValue();
        each.remove();
      }
    }
  }
}
