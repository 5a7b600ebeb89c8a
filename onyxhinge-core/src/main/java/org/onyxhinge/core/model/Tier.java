package org.onyxhinge.core.model;

/**
 * A priority tier. A lower {@code rank} is more important: rank 0 is never shed while a request of
 * a higher rank is being served.
 *
 * @param name operator-chosen name, for example {@code interactive}
 * @param rank importance, 0 first
 * @param firstTokenBudgetMs time from arrival to the first streamed token that still counts as in time
 * @param betweenTokenBudgetMs largest gap between two streamed tokens that still counts as in time
 * @param deadlineMs time from arrival to the last token that still counts as in time
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
