package org.onyxhinge.router.config;

/** Kinds of configuration object, each with its own key prefix. */
public enum ConfigKind {
    /** A {@link org.onyxhinge.core.model.Tier}. */
    TIER("config/tier/"),
    /** A {@link org.onyxhinge.core.model.Workspace}. */
    WORKSPACE("config/workspace/"),
    /** A {@link org.onyxhinge.core.model.Service}. */
    SERVICE("config/service/"),
    /** A {@link org.onyxhinge.core.model.Pool}. */
    POOL("config/pool/");

    /** Common prefix of all configuration keys. */
    public static final String ROOT_PREFIX = "config/";

    private final String prefix;

    ConfigKind(String prefix) {
        this.prefix = prefix;
    }

    /** Returns the key of the object {@code name}. */
    public String key(String name) {
        return prefix + name;
    }

    /** Returns the kind of the object that is stored under a key. */
    public static ConfigKind ofKey(String key) {
        for (ConfigKind k : values()) {
            if (key.startsWith(k.prefix)) {
                return k;
            }
        }
        throw new IllegalArgumentException("not a configuration key: " + key);
    }

    /** Returns the object name that a key of this kind contains. */
    public String name(String key) {
        return key.substring(prefix.length());
    }
}
