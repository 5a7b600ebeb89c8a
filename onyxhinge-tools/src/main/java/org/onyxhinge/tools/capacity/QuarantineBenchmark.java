package org.onyxhinge.tools.capacity;

import java.util.List;
import java.util.concurrent.TimeUnit;

import org.onyxhinge.core.quarantine.Crash;
import org.onyxhinge.core.quarantine.Fingerprint;
import org.onyxhinge.core.quarantine.Quarantine;
import org.onyxhinge.core.quarantine.Suspects;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Level;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;

/**
 * Per-call cost of the quarantine: the fingerprints of a request and two parts, two decisions, and recording the
 * complete answer.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
public class QuarantineBenchmark {

    private static final long NOW_MS = 1_000;
    private static final List<String> PARTS = List.of("5c1e07a2", "91bd3f06");

    /** Size of the request body: a short question, and a prompt of about 6,600 tokens. */
    @Param({"200", "26000"})
    public int bodyBytes;

    /** Number of other requests suspected of crashing targets. */
    @Param({"0", "1000"})
    public int suspects;

    private Quarantine quarantine;
    private byte[] body;
    private int call;

    /** Records a crash for each suspect. */
    @Setup(Level.Iteration)
    public void fill() {
        quarantine = Quarantine.create();
        for (int i = 0; i < suspects; i++) {
            quarantine.recordCrash(new Crash(new Fingerprint(i, i), "t", NOW_MS), NOW_MS);
        }
        body = new byte[bodyBytes];
    }

    /** One call; the body changes each time, so that successive calls are different requests. */
    @Benchmark
    public boolean fingerprintAndLooks() {
        body[0] = (byte) call;
        body[1] = (byte) (call++ >> Byte.SIZE);
        Suspects request = Suspects.of(Fingerprint.of("agency", "POST", "letters.example", "/draft/1", body), PARTS);
        boolean held = isWithheld(request) || isWithheld(request);
        boolean cleared = false;
        for (Fingerprint suspect : request.all()) {
            cleared |= quarantine.answered(suspect, NOW_MS);
        }
        return held || cleared;
    }

    private boolean isWithheld(Suspects request) {
        return quarantine.decide(request, NOW_MS) == Quarantine.Decision.WITHHOLD;
    }
}
