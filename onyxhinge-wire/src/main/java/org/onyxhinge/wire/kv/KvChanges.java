package org.onyxhinge.wire.kv;

import java.util.List;
import java.util.Map;

/**
 * What a mirror holds that has changed since a revision.
 *
 * @param revision the mirror has all changes up to this revision
 * @param whole whether {@code entries} are all that there are, since not all deletions are known
 * @param entries the changed entries
 * @param deleted the keys that were deleted, each with a revision at which it was
 */
public record KvChanges(long revision, boolean whole, List<KvEntry> entries, Map<String, Long> deleted) {

    /** Copies the collections. */
    public KvChanges {
        entries = List.copyOf(entries);
        deleted = Map.copyOf(deleted);
    }
}
