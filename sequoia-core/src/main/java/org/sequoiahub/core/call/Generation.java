package org.sequoiahub.core.call;

import java.util.List;

/**
 * The work that a model request asks of a runner.
 *
 * @param model the base model
 * @param adapter the adapter's name within the model; empty for the base model itself
 * @param promptTokens the length of the prompt
 * @param maxOutputTokens the maximum number of tokens to generate
 * @param expectedOutputTokens the caller's estimate of the output's length; the maximum if it made
 *     none
 * @param parts the parts of the prompt in order; the last one is specific to the request or its
 *     session
 */
public record Generation(
    String model,
    String adapter,
    int promptTokens,
    int maxOutputTokens,
    int expectedOutputTokens,
    List<PromptPart> parts) {

  /** Copies the list. */
  public Generation {
    parts = List.copyOf(parts);
  }

  /** Returns the model and the adapter as one name, such as {@code m0/a17}, or the model alone. */
  public String target() {
    return Target.of(model, adapter);
  }

  /** Returns the parts that other requests may share: all but the last one. */
  public List<PromptPart> sharedParts() {
    return parts.subList(0, Math.max(0, parts.size() - 1));
  }

  /** Returns whether an adapter is needed. */
  public boolean usesAdapter() {
    return !adapter.isEmpty();
  }
}
