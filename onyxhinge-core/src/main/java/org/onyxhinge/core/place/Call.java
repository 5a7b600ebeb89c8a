package org.onyxhinge.core.place;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/**
 * A call that needs a target. Identity is by object: a request that is sent to a second target is represented by a
 * second call.
 */
public final class Call {

    private final String service;
    private final String workspace;
    private final int rank;
    private final boolean isRetry;
    private final boolean isRepeat;
    private final long firstByteDeadlineMs;
    private final long queueDeadlineMs;
    private final long responseDeadlineMs;
    private final long gapTargetMs;
    private final long promptTokens;
    private final long outputEvents;
    private final Optional<String> version;
    private final Set<String> avoid = new HashSet<>();
    private int queuedRank;

    private Call(Builder b) {
        this.service = b.service;
        this.workspace = b.workspace;
        this.rank = b.rank;
        this.queuedRank = b.rank;
        this.isRetry = b.isRetry;
        this.isRepeat = b.isRepeat;
        this.firstByteDeadlineMs = b.firstByteDeadlineMs;
        this.queueDeadlineMs = b.queueDeadlineMs;
        this.responseDeadlineMs = b.responseDeadlineMs;
        this.gapTargetMs = b.gapTargetMs;
        this.promptTokens = b.promptTokens;
        this.outputEvents = b.outputEvents;
        this.version = b.version;
        this.avoid.addAll(b.avoid);
    }

    /** Starts building a call of a service that arrived at {@code arrivedAtMs}. */
    public static Builder of(String service, long arrivedAtMs) {
        return new Builder(service, arrivedAtMs);
    }

    /** The service that is called. */
    public String service() {
        return service;
    }

    /** Name of the caller's workspace; empty if it has none. */
    public String workspace() {
        return workspace;
    }

    /** The rank; 0 is the most urgent. */
    public int rank() {
        return rank;
    }

    /** The rank that the call is queued with; more urgent than its own if it is promoted. */
    public int queuedRank() {
        return queuedRank;
    }

    void queuedWith(int promotedRank) {
        queuedRank = promotedRank;
    }

    /** Whether this is a retry by a caller that was refused before. */
    public boolean isRetry() {
        return isRetry;
    }

    /** Whether its caller repeats it before the time it was told; it goes after the other calls of its rank. */
    public boolean isRepeat() {
        return isRepeat;
    }

    /** Deadline for the first byte to count as on time. */
    public long firstByteDeadlineMs() {
        return firstByteDeadlineMs;
    }

    /** Latest time until which the call may be queued. */
    public long queueDeadlineMs() {
        return queueDeadlineMs;
    }

    /** Deadline for the complete response. */
    public long responseDeadlineMs() {
        return responseDeadlineMs;
    }

    /** Longest gap between two events of a stream that counts as on time; 0 for no bound. */
    public long gapTargetMs() {
        return gapTargetMs;
    }

    /** Number of prompt tokens; 0 for a plain call. */
    public long promptTokens() {
        return promptTokens;
    }

    /** Expected number of events in the response; 0 for a plain call. */
    public long outputEvents() {
        return outputEvents;
    }

    /** The version that began the stream which the call continues; empty if any version may run the call. */
    public Optional<String> version() {
        return version;
    }

    /** Incarnations of targets that this call must not be sent to again. */
    public Set<String> avoid() {
        return avoid;
    }

    /** Builds a {@link Call}. */
    public static final class Builder {

        private final String service;
        private final Set<String> avoid = new HashSet<>();
        private String workspace = "";
        private int rank;
        private boolean isRetry;
        private boolean isRepeat;
        private long firstByteDeadlineMs;
        private long queueDeadlineMs;
        private long responseDeadlineMs = Long.MAX_VALUE;
        private long gapTargetMs;
        private long promptTokens;
        private long outputEvents;
        private Optional<String> version = Optional.empty();

        private Builder(String service, long arrivedAtMs) {
            this.service = service;
            this.firstByteDeadlineMs = arrivedAtMs;
            this.queueDeadlineMs = arrivedAtMs;
        }

        /** Sets the name of the caller's workspace. */
        public Builder workspace(String name) {
            workspace = name;
            return this;
        }

        /** Sets the rank and whether this is a retry. */
        public Builder rank(int value, boolean retry) {
            rank = value;
            isRetry = retry;
            return this;
        }

        /** Sets whether the caller repeats the request before the time it was told. */
        public Builder repeat(boolean value) {
            isRepeat = value;
            return this;
        }

        /** Sets the deadline of the first byte and the latest time until which the call may be queued. */
        public Builder times(long onTimeMs, long holdMs) {
            firstByteDeadlineMs = onTimeMs;
            queueDeadlineMs = holdMs;
            return this;
        }

        /** Sets the deadline of the complete response. */
        public Builder responseDeadline(long ms) {
            responseDeadlineMs = ms;
            return this;
        }

        /** Sets the longest gap between two events that counts as on time. */
        public Builder gapTarget(long ms) {
            gapTargetMs = ms;
            return this;
        }

        /** Sets the number of prompt tokens and the expected number of response events. */
        public Builder work(long tokens, long events) {
            promptTokens = tokens;
            outputEvents = events;
            return this;
        }

        /** Sets the version that began the stream which the call continues; empty for a call that begins. */
        public Builder version(Optional<String> began) {
            version = began;
            return this;
        }

        /** Adds incarnations of targets that the call must not be sent to. */
        public Builder avoid(Set<String> incarnations) {
            avoid.addAll(incarnations);
            return this;
        }

        /** Builds the call. */
        public Call build() {
            return new Call(this);
        }
    }
}
