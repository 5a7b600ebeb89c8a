package org.onyxhinge.runtime;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;

import io.vertx.core.json.JsonObject;

/**
 * Processor time and memory of this process, for the state dump and the capacity figures.
 *
 * @param cpuMs processor time used since the process started
 * @param residentBytes memory it occupies, from {@code /proc/self/status}; 0 where there is no such file
 * @param privateBytes of that, memory shared with no file or process
 * @param heapBytes heap in use
 */
public record ProcessUsage(long cpuMs, long residentBytes, long privateBytes, long heapBytes) {

    private static final Path STATUS = Path.of("/proc/self/status");
    private static final String RESIDENT = "VmRSS:";
    private static final String PRIVATE = "RssAnon:";
    private static final long BYTES_PER_KB = 1_024;

    /** Reads the figures now. */
    public static ProcessUsage now() {
        Runtime runtime = Runtime.getRuntime();
        long cpuMs = ProcessHandle.current()
                .info()
                .totalCpuDuration()
                .map(Duration::toMillis)
                .orElse(0L);
        return new ProcessUsage(
                cpuMs, statusBytes(RESIDENT), statusBytes(PRIVATE), runtime.totalMemory() - runtime.freeMemory());
    }

    /** As JSON. */
    public JsonObject toJson() {
        return new JsonObject()
                .put("cpuMs", cpuMs)
                .put("residentBytes", residentBytes)
                .put("privateBytes", privateBytes)
                .put("heapBytes", heapBytes);
    }

    private static long statusBytes(String field) {
        try {
            for (String line : Files.readAllLines(STATUS)) {
                if (line.startsWith(field)) {
                    String[] parts = line.substring(field.length()).trim().split("\\s+");
                    return Long.parseLong(parts[0]) * BYTES_PER_KB;
                }
            }
        } catch (IOException e) {
            return 0;
        }
        return 0;
    }
}
