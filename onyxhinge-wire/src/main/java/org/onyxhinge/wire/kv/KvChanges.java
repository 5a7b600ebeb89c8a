package org.onyxhinge.wire.kv;

import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * What a mirror holds that has changed since a revision.
 *
 * @param revision the mirror has all changes up to this revision
 * @param whole whether {@code entries} are all that there are, since not all deletions are known
 * @param entries the changed entries; of some, only the key may be told
 * @param deleted the keys that were deleted, each with a revision at which it was
 */
public record KvChanges(long revision, boolean whole, List<KvEntry> entries, Map<String, Long> deleted) {

    /** Copies the collections. */
    public KvChanges {
        entries = List.copyOf(entries);
        deleted = Map.copyOf(deleted);
    }

    /**
     * The same changes without the contents of some entries, so that those of all others fit into a message. The other
     * mirror learns of them from the service only.
     */
    public KvChanges withKeysOnly(Predicate<KvEntry> leftOut) {
        List<KvEntry> told =
                entries.stream().map(e -> leftOut.test(e) ? e.keyOnly() : e).toList();
        return new KvChanges(revision, whole, told, deleted);
    }
}
