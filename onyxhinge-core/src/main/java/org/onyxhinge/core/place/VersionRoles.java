package org.onyxhinge.core.place;

/** Decides which calls the targets of one service get, by their version. */
@FunctionalInterface
public interface VersionRoles {

    /** The role of the targets with a version; the empty version stands for targets that report none. */
    TargetRole roleOf(String version);
}
