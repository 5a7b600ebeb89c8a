package org.onyxhinge.tools.load;

import java.util.SplittableRandom;

/** Deterministic filler text for workloads: the same name and length always give the same words. */
public final class Texts {

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

    private Texts() {}

    /** {@code n} words seeded by {@code name}. */
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
