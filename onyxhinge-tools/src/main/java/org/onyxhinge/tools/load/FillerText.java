package org.onyxhinge.tools.load;

import java.util.SplittableRandom;

/** Deterministic filler text for workloads: the same name and length always produce the same words. */
public final class FillerText {

    private static final String[] WORDS = {
        "the",
        "route",
        "letter",
        "crowd",
        "gate",
        "hour",
        "bus",
        "print",
        "draft",
        "address",
        "station",
        "review",
        "platform",
        "appeal",
        "household",
        "forecast",
        "marshal",
        "corridor",
        "envelope",
        "supervisor",
        "campaign"
    };

    private FillerText() {}

    /** Returns {@code n} pseudo-random words; the hash of {@code name} is the seed. */
    public static String words(String name, int n) {
        SplittableRandom random = new SplittableRandom(name.hashCode());
        StringBuilder b = new StringBuilder(n * 7);
        for (int i = 0; i < n; i++) {
            if (i > 0) {
                b.append(' ');
            }
            b.append(WORDS[random.nextInt(WORDS.length)]);
        }
        return b.toString();
    }
}
