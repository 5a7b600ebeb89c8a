package org.onyxhinge.wire.kv;

/** Where onyxhinge's processes keep their keys in the key-value service. */
public final class KvKeys {

    /** Routers' membership leases: {@code members/routers/ROUTER} holds its callers' address. */
    public static final String ROUTERS = "members/routers/";

    /** Where agents are found: {@code members/agents/POOL/TARGET} holds the agent's peer address. */
    public static final String AGENTS = "members/agents/";

    /** Order leases: {@code orders/POOL} is held while an order to the pool is under way. */
    public static final String ORDERS = "orders/";

    /** Claims of non-idempotent requests: {@code once/WORKSPACE/IDEMPOTENCY_KEY} holds the request id. */
    public static final String ONCE = "once/";

    private KvKeys() {}
}
