package org.onyxhinge.router.config;

/**
 * The result of a configuration write.
 *
 * @param version version of the object that is in force now
 * @param revision key-value revision at which the write took effect
 * @param applied false if the same operation had taken effect before and nothing was written
 */
public record PutOutcome(long version, long revision, boolean applied) {}
