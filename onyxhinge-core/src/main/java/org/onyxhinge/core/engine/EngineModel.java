package org.onyxhinge.core.engine;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * An engine with continuous batching (Yu et al., "Orca", OSDI 2022) and chunked prefill (Agrawal et al.,
 * "Sarathi-Serve", OSDI 2024): requests are admitted in order of arrival; every step generates one token for each
 * request whose prefill is complete and prefills a chunk of the next prompt. When memory runs out, the newest request
 * is preempted. The caller controls time: it lets the duration of a step pass before the next step.
 */
public final class EngineModel {

    private final EngineSpec spec;
    private final Deque<EngineRun> queue = new ArrayDeque<>();
    private final List<EngineRun> batch = new ArrayList<>();
    private final PromptCache cache = new PromptCache();
    private long prefilledTokens;

    private EngineModel(EngineSpec spec) {
        this.spec = spec;
    }

    /** Creates an idle engine. */
    public static EngineModel create(EngineSpec spec) {
        return new EngineModel(spec);
    }

    /** Submits a request; false when the queue is full and the request is not run. */
    public boolean submit(EngineRun run) {
        if (batch.size() + queue.size() >= spec.slots() + spec.queueLimit()) {
            return false;
        }
        queue.add(run);
        return true;
    }

    /** Removes a request whose caller has disconnected. */
    public void cancel(EngineRun run) {
        queue.remove(run);
        batch.remove(run);
    }

    /** Requests in the batch. */
    public int running() {
        return batch.size();
    }

    /** Requests waiting for a slot. */
    public int waiting() {
        return queue.size();
    }

    /** Prompt tokens prefilled since the start. */
    public long prefilledTokens() {
        return prefilledTokens;
    }

    /** Starts the next step; its events are due when its duration has passed. */
    public EngineStep step() {
        admit();
        if (batch.isEmpty()) {
            return EngineStep.IDLE;
        }
        List<EngineRun> decoding =
                batch.stream().filter(run -> !run.prefilling()).toList();
        double durationMs = prefillChunk();
        if (!decoding.isEmpty()) {
            durationMs += spec.stepMs() + spec.stepMsPerRun() * (decoding.size() - 1);
        }
        List<EngineRun> events = new ArrayList<>();
        List<EngineRun> ended = new ArrayList<>();
        for (EngineRun run : decoding) {
            run.generateToken();
            if (run.finished() || run.generatedTokens() % spec.tokensPerEvent() == 1 || spec.tokensPerEvent() == 1) {
                events.add(run);
            }
            if (run.finished()) {
                ended.add(run);
                cache.add(run.prompt());
            }
        }
        batch.removeAll(ended);
        freeMemory();
        return new EngineStep(durationMs, events, ended);
    }

    private void admit() {
        while (batch.size() < spec.slots() && !queue.isEmpty()) {
            EngineRun run = queue.poll();
            run.start(cache.cachedTokens(run.prompt()));
            batch.add(run);
        }
    }

    /** Prefills prompts in order of admission, up to one chunk in total; returns the time that takes. */
    private double prefillChunk() {
        int budget = spec.chunkTokens();
        for (EngineRun run : batch) {
            int chunk = Math.min(budget, run.remainingPromptTokens());
            run.prefill(chunk);
            budget -= chunk;
        }
        int prefilled = spec.chunkTokens() - budget;
        prefilledTokens += prefilled;
        return prefilled / spec.prefillTokensPerMs();
    }

    private void freeMemory() {
        long used = usedTokens();
        cache.evictTo(Math.max(0, spec.memoryTokens() - used));
        while (used > spec.memoryTokens() && batch.size() > 1) {
            EngineRun newest = batch.removeLast();
            newest.preempt();
            queue.addFirst(newest);
            used = usedTokens();
        }
    }

    private long usedTokens() {
        long used = 0;
        for (EngineRun run : batch) {
            used += run.memoryTokens();
        }
        return used;
    }
}
