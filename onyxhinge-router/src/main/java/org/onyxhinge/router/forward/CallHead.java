package org.onyxhinge.router.forward;

import java.util.Optional;

/**
 * The fields of a caller's request other than method, path and body.
 *
 * @param requestId the caller's id of this attempt
 * @param apiKey the API key, if any
 * @param deadlineMs how long the caller will wait from now
 * @param lastEventId id of the last event received when a broken stream is resumed
 * @param originAttemptId the caller's id of the attempt that brought the first event of a resumed stream
 * @param promptTokens number of prompt tokens; 0 if not given
 * @param maxOutputTokens maximum number of tokens to generate; 0 if not given
 * @param expectedOutputTokens number of tokens that the caller expects; 0 if not given
 * @param promptParts the parts of the prompt that other requests may share
 */
public record CallHead(
        String requestId,
        Optional<String> apiKey,
        long deadlineMs,
        Optional<String> lastEventId,
        Optional<String> originAttemptId,
        long promptTokens,
        long maxOutputTokens,
        long expectedOutputTokens,
        PromptParts promptParts) {

    /** Sum of prompt and output tokens, or -1 if neither is given. */
    public long tokens() {
        return promptTokens == 0 && maxOutputTokens == 0 ? -1 : promptTokens + maxOutputTokens;
    }
}
