package org.sequoiahub.core.call;

/**
 * A piece of a prompt that other requests may share.
 *
 * @param id names the piece; equal pieces have equal names
 * @param tokens its length
 */
public record PromptPart(String id, int tokens) {}
