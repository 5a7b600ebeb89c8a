package org.onyxhinge.core.engine;

import java.util.List;

/** The execution state of one request at an engine. */
public final class EngineRun {

    private final List<PromptPart> prompt;
    private final int promptTokens;
    private final int outputTokens;
    private int remainingPromptTokens;
    private int generatedTokens;
    private int recomputedTokens;

    private EngineRun(List<PromptPart> prompt, int outputTokens) {
        this.prompt = List.copyOf(prompt);
        this.promptTokens = prompt.stream().mapToInt(PromptPart::tokens).sum();
        this.outputTokens = outputTokens;
        this.remainingPromptTokens = promptTokens;
    }

    /** Creates a run of a prompt that generates {@code outputTokens}, at least one. */
    public static EngineRun of(List<PromptPart> prompt, int outputTokens) {
        return new EngineRun(prompt, Math.max(1, outputTokens));
    }

    /** Output tokens generated so far. */
    public int generatedTokens() {
        return generatedTokens;
    }

    /** True once the last token has been generated. */
    public boolean finished() {
        return generatedTokens >= outputTokens;
    }

    /** Tokens that had to be prefilled again because the request was preempted for lack of memory. */
    public int recomputedTokens() {
        return recomputedTokens;
    }

    List<PromptPart> prompt() {
        return prompt;
    }

    int remainingPromptTokens() {
        return remainingPromptTokens;
    }

    boolean prefilling() {
        return remainingPromptTokens > 0;
    }

    /** Memory currently used, in tokens. */
    long memoryTokens() {
        return (long) promptTokens - remainingPromptTokens + generatedTokens;
    }

    void start(int cachedTokens) {
        remainingPromptTokens = Math.max(0, remainingPromptTokens - cachedTokens);
    }

    void prefill(int tokens) {
        remainingPromptTokens -= tokens;
    }

    void generateToken() {
        generatedTokens++;
    }

    /**
     * Handles removal from the batch: the prompt and the generated tokens must be prefilled again before decoding
     * continues.
     */
    void preempt() {
        int held = (int) memoryTokens();
        recomputedTokens += held;
        remainingPromptTokens += held;
    }
}
