package org.onyxhinge.tools.capacity;

import java.util.List;
import java.util.concurrent.TimeUnit;

import org.onyxhinge.wire.peer.PeerCodec;
import org.onyxhinge.wire.peer.PeerMessage;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.State;

/** Cost of encoding and decoding one load report, by the number of cached prefixes it contains. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
public class PeerCodecBenchmark {

    /** Number of prefix hashes in the report. */
    @Param({"0", "8"})
    public int prefixes;

    @Benchmark
    public byte[] encode() {
        return PeerCodec.encode(createReport());
    }

    @Benchmark
    public PeerMessage encodeAndDecode() {
        return PeerCodec.decode(PeerCodec.encode(createReport()));
    }

    private PeerMessage createReport() {
        List<Long> hashes = java.util.stream.LongStream.rangeClosed(1, prefixes)
                .map(i -> i * 0x9E3779B97F4A7C15L)
                .boxed()
                .toList();
        return new PeerMessage.Load(6, 2, hashes, false);
    }
}
