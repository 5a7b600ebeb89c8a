package org.onyxhinge.core.model;

/**
 * A pool of heterogeneous targets that serve the same services. Targets join a pool through their agent's settings; the
 * pool itself only defines a name and the model.
 *
 * @param name operator-chosen name
 * @param model model or application that the pool's targets run
 */
public record Pool(String name, String model) {

    /** Checks the name; throws {@link IllegalArgumentException} naming the bad field. */
    public Pool {
        Checks.name("pool", name);
        if (model == null || model.isBlank()) {
            throw new IllegalArgumentException("pool model must not be blank");
        }
    }
}
