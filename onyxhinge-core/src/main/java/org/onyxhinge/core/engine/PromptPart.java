package org.onyxhinge.core.engine;

/**
 * A part of a prompt that several requests may share.
 *
 * @param id identifies its content together with all preceding parts
 * @param tokens its length
 */
public record PromptPart(long id, int tokens) {}
