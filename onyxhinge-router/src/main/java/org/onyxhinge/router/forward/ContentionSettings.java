package org.onyxhinge.router.forward;

import java.util.Set;

import org.onyxhinge.core.place.Mechanism;
import org.onyxhinge.core.place.PlacementSettings;

/**
 * Settings for deployments whose callers compete for too few slots. Everything here is off by default.
 *
 * @param mechanisms opt-in mechanisms of the placement
 * @param retryRecognition whether routers of a data centre tell each other what they refuse, to recognize retries
 * @param repeatLimits whether requests that are repeated at once and often yield to other requests
 * @param readers limits on what is buffered for callers that read slowly
 */
public record ContentionSettings(
        Set<Mechanism> mechanisms, boolean retryRecognition, boolean repeatLimits, ReaderLimits readers) {

    /** Makes a defensive copy. */
    public ContentionSettings {
        mechanisms = Set.copyOf(mechanisms);
    }

    /** Returns settings with everything off. */
    public static ContentionSettings none() {
        return new ContentionSettings(Set.of(), false, false, ReaderLimits.none());
    }

    /** The settings of the placement. */
    PlacementSettings placement() {
        return PlacementSettings.defaults().with(mechanisms);
    }
}
