package org.onyxhinge.core.route;

/** What a workspace's quota counts. */
public enum QuotaUnit {
    /** Each request counts as one unit. */
    REQUESTS,
    /** A request counts as its prompt tokens plus the maximum number of tokens it may generate. */
    TOKENS
}
