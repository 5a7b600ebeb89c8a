package org.onyxhinge.core.rollout;

/**
 * Number of answers, and how many of them were bad: failed, or much slower than usual.
 *
 * @param answers all answers
 * @param bad bad answers
 */
public record AnswerCount(long answers, long bad) {

    public static final AnswerCount NONE = new AnswerCount(0, 0);

    /** The sum of two counts. */
    public AnswerCount plus(AnswerCount other) {
        return new AnswerCount(answers + other.answers, bad + other.bad);
    }

    /** What was counted since an earlier count. */
    public AnswerCount minus(AnswerCount earlier) {
        return new AnswerCount(answers - earlier.answers, bad - earlier.bad);
    }
}
