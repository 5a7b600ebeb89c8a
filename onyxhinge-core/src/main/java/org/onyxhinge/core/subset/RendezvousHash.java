package org.onyxhinge.core.subset;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Highest-random-weight (rendezvous) hashing, after Thaler and Ravishankar, "Using name-based mappings to increase hit
 * rates" (IEEE/ACM ToN 1998). Each owner ranks the candidates by a hash of both names and takes the first few. Every
 * owner gets exactly that many, owners are spread over the candidates, and adding or removing one candidate changes at
 * most one choice of an owner.
 */
public final class RendezvousHash {

    private RendezvousHash() {}

    /** The {@code n} candidates that rank first for {@code owner}; all candidates when there are no more than that. */
    public static List<String> choose(String owner, Collection<String> candidates, int n) {
        return candidates.stream()
                .sorted(Comparator.comparingLong((String c) -> weight(owner, c))
                        .reversed()
                        .thenComparing(Comparator.naturalOrder()))
                .limit(n)
                .toList();
    }

    private static long weight(String owner, String candidate) {
        byte[] key = (owner + '\0' + candidate).getBytes(StandardCharsets.UTF_8);
        return MurmurHash3.hash128x64(key)[0];
    }
}
