package org.onyxhinge.tools.load;

import io.vertx.core.json.JsonObject;

/**
 * One request of a workload file (JSON Lines, one object per line).
 *
 * @param atMs when to send it, from the start of the run
 * @param workspace workspace header
 * @param tier tier header
 * @param service service name
 * @param brief name of the shared system prompt; requests with the same brief share a prefix
 * @param briefWords length of the shared system prompt in words
 * @param askWords length of the request's own part in words
 * @param maxTokens tokens wanted
 * @param key idempotency key, or empty
 * @param plain true for a plain service call
 */
public record WorkItem(
        long atMs,
        String workspace,
        String tier,
        String service,
        String brief,
        int briefWords,
        int askWords,
        int maxTokens,
        String key,
        boolean plain) {

    /** Reads one line of a workload file; throws {@link IllegalArgumentException} naming the bad field. */
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

    /** The same request at another time; a non-empty key gets {@code suffix}, so it is a new request. */
    public WorkItem copyAt(long otherAtMs, String suffix) {
        return new WorkItem(
                otherAtMs,
                workspace,
                tier,
                service,
                brief,
                briefWords,
                askWords,
                maxTokens,
                key.isEmpty() ? "" : key + "-" + suffix,
                plain);
    }
}
