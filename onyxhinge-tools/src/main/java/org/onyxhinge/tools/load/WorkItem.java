package org.onyxhinge.tools.load;

import io.vertx.core.json.JsonObject;

/**
 * A request of a workload file (JSON Lines, one object per line).
 *
 * @param atMs send time relative to the start of the run
 * @param workspace value of the workspace header
 * @param tier value of the tier header
 * @param service service name
 * @param systemPromptName name of the system prompt ({@code brief} in the file); requests with the same name share a
 *     prompt prefix
 * @param systemPromptWords length of the system prompt in words ({@code briefWords} in the file)
 * @param userPromptWords length of the user prompt in words ({@code askWords} in the file)
 * @param maxTokens maximum number of output tokens
 * @param key idempotency key, or empty
 * @param plain true for a plain service call
 */
public record WorkItem(
        long atMs,
        String workspace,
        String tier,
        String service,
        String systemPromptName,
        int systemPromptWords,
        int userPromptWords,
        int maxTokens,
        String key,
        boolean plain) {

    /** Parses a line of a workload file; throws {@link IllegalArgumentException} when a field has the wrong type. */
    public static WorkItem fromJson(JsonObject j) {
        try {
            return new WorkItem(
                    j.getLong("atMs", 0L),
                    j.getString("workspace"),
                    j.getString("tier"),
                    j.getString("service"),
                    j.getString("brief", ""),
                    j.getInteger("briefWords", 0),
                    j.getInteger("askWords", 10),
                    j.getInteger("maxTokens", 16),
                    j.getString("key", ""),
                    j.getBoolean("plain", false));
        } catch (ClassCastException e) {
            throw new IllegalArgumentException("workload line has a field of the wrong type: " + j.encode(), e);
        }
    }

    /** Copies the request to another time, with {@code suffix} added to a non-empty key so that it is a new request. */
    public WorkItem copyAt(long newAtMs, String suffix) {
        return new WorkItem(
                newAtMs,
                workspace,
                tier,
                service,
                systemPromptName,
                systemPromptWords,
                userPromptWords,
                maxTokens,
                key.isEmpty() ? "" : key + "-" + suffix,
                plain);
    }
}
