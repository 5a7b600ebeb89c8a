package org.onyxhinge.core.model;

/**
 * A priority tier. A lower {@code rank} is more important: rank 0 is never shed while a request of a higher rank number
 * is being served.
 *
 * @param name operator-chosen name, for example {@code interactive}
 * @param rank importance, 0 the most important
 * @param firstTokenBudgetMs maximum time from arrival to the first streamed token
 * @param betweenTokenBudgetMs maximum gap between two streamed tokens
 * @param deadlineMs maximum time from arrival to the last token
 */
public record Tier(String name, int rank, long firstTokenBudgetMs, long betweenTokenBudgetMs, long deadlineMs) {

    /** Checks the ranges; throws {@link IllegalArgumentException} naming the bad field. */
    public Tier {
        Checks.name("tier", name);
        Checks.atLeast("rank", rank, 0);
        Checks.atLeast("firstTokenBudgetMs", firstTokenBudgetMs, 1);
        Checks.atLeast("betweenTokenBudgetMs", betweenTokenBudgetMs, 1);
        Checks.atLeast("deadlineMs", deadlineMs, firstTokenBudgetMs);
    }
}
