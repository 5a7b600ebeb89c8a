package org.onyxhinge.core.quarantine;

import java.util.ArrayList;
import java.util.List;

/**
 * What may be at fault if a target ends while it runs a request: the request as a whole, or one of the parts that its
 * prompt shares with others.
 *
 * @param request the request
 * @param partIds ids of the parts, as the caller names them
 * @param all fingerprints of the request and then of the parts, in the order of {@code partIds}
 */
public record Suspects(Fingerprint request, List<String> partIds, List<Fingerprint> all) {

    /** Suspects of an unknown request. */
    public static final Suspects NONE = of(Fingerprint.NONE, List.of());

    /** Copies the lists. */
    public Suspects {
        partIds = List.copyOf(partIds);
        all = List.copyOf(all);
    }

    /** Returns the suspects of a request whose prompt has the given parts. */
    public static Suspects of(Fingerprint request, List<String> partIds) {
        List<Fingerprint> all = new ArrayList<>();
        all.add(request);
        partIds.forEach(id -> all.add(Fingerprint.ofPromptPart(id)));
        return new Suspects(request, partIds, all);
    }

    /** Returns the request alone. */
    public Suspects withoutParts() {
        return of(request, List.of());
    }

    /** Whether the request is, or its prompt contains, what a fingerprint identifies. */
    public boolean contain(Fingerprint fingerprint) {
        return all.contains(fingerprint);
    }
}
