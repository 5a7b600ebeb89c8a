package org.onyxhinge.router.forward;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;

/**
 * The parts of a prompt that other requests may share, in the order in which the prompt begins with them. The last part
 * of a prompt belongs to the request or its session and is not among them.
 *
 * @param shared ids of the parts, without duplicates
 */
public record PromptParts(List<String> shared) {

    /** Parts beyond this are ignored: callers choose what the header holds. */
    static final int MAX_PARTS = 32;

    /** A longer text is not the id of a part. */
    static final int MAX_ID_CHARS = 64;

    private static final PromptParts NONE = new PromptParts(List.of());

    /** Copies the list. */
    public PromptParts {
        shared = List.copyOf(shared);
    }

    /** Returns no parts. */
    public static PromptParts none() {
        return NONE;
    }

    /**
     * Parses a list of comma-separated parts, each an id that a colon and a number of tokens may follow. Entries
     * without an id are skipped, since a caller's request is valid without any parts.
     *
     * @param header the list, or null for none
     */
    public static PromptParts parse(String header) {
        if (header == null || header.isBlank()) {
            return NONE;
        }
        List<String> ids = new ArrayList<>();
        for (String entry : header.split(",", MAX_PARTS + 2)) {
            String id = entry.split(":", 2)[0].trim().toLowerCase(Locale.ROOT);
            ids.add(id);
        }
        Set<String> shared = new LinkedHashSet<>(ids.subList(0, Math.min(ids.size() - 1, MAX_PARTS)));
        shared.removeIf(id -> id.isEmpty() || id.length() > MAX_ID_CHARS);
        return new PromptParts(List.copyOf(shared));
    }
}
