package org.onyxhinge.core.route;

/** What a workspace's quota counts. */
public enum QuotaUnit {
    /** Each request counts one. */
    REQUESTS,
    /** A request counts its prompt tokens and the most tokens it may generate. */
    TOKENS
}
