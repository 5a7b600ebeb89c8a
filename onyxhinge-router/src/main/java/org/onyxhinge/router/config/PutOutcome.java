package org.onyxhinge.router.config;

/**
 * What a configuration write did.
 *
 * @param version the object's version now in force
 * @param revision the key-value revision at which it took effect
 * @param applied false when the same operation had already taken effect and nothing was written
 */
public record PutOutcome(long version, long revision, boolean applied) {}
