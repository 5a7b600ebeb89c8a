package org.onyxhinge.router.config;

/** The kinds of configured object, each under its own key prefix. */
public enum ConfigKind {
    /** A {@link org.onyxhinge.core.model.Tier}. */
    TIER("config/tier/"),
    /** A {@link org.onyxhinge.core.model.Workspace}. */
    WORKSPACE("config/workspace/"),
    /** A {@link org.onyxhinge.core.model.Service}. */
    SERVICE("config/service/"),
    /** A {@link org.onyxhinge.core.model.Pool}. */
    POOL("config/pool/");

    /** Prefix of every configuration key. */
    public static final String ROOT = "config/";

    private final String prefix;

    ConfigKind(String prefix) {
        this.prefix = prefix;
    }

    /** The key of the object called {@code name}. */
    public String key(String name) {
        return prefix + name;
    }

    /** The kind a key belongs to. */
    public static ConfigKind ofKey(String key) {
        for (ConfigKind k : values()) {
            if (key.startsWith(k.prefix)) {
                return k;
            }
        }
        throw new IllegalArgumentException("not a configuration key: " + key);
    }

    /** The object's name within a key. */
    public String name(String key) {
        return key.substring(prefix.length());
    }
}
