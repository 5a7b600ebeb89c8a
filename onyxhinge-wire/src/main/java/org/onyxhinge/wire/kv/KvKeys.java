package org.onyxhinge.wire.kv;

/** Prefixes of the keys that onyxhinge processes store in the key-value service. */
public final class KvKeys {

    /** Router membership: {@code members/routers/ROUTER}, bound to a lease, holds the address for callers. */
    public static final String ROUTERS = "members/routers/";

    /** Agent discovery: {@code members/agents/POOL/TARGET} holds the agent's peer address. */
    public static final String AGENTS = "members/agents/";

    /** Order locks: {@code orders/POOL}, bound to a lease, exists while an order to the pool is in progress. */
    public static final String ORDERS = "orders/";

    /** Claims of non-idempotent requests: {@code once/WORKSPACE/IDEMPOTENCY_KEY} holds the request id. */
    public static final String ONCE = "once/";

    private KvKeys() {}
}
