package org.sequoiahub.core.call;

/**
 * A part of a prompt that other requests may share.
 *
 * @param id identifies the part; equal parts have equal ids
 * @param tokens the length of the part
 */
public record PromptPart(String id, int tokens) {}
