package org.onyxhinge.runtime;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;

import io.vertx.core.json.JsonObject;

/**
 * CPU time and memory usage of this process, for the state dump and capacity measurements.
 *
 * @param cpuMs CPU time since the start of the process
 * @param residentBytes resident set size from {@code /proc/self/status}; 0 on systems without that file
 * @param privateBytes resident anonymous memory, which is not backed by files
 * @param heapBytes heap in use
 */
public record ProcessUsage(long cpuMs, long residentBytes, long privateBytes, long heapBytes) {

    private static final Path STATUS_FILE = Path.of("/proc/self/status");
    private static final String RESIDENT = "VmRSS:";
    private static final String ANONYMOUS = "RssAnon:";
    private static final long BYTES_PER_KB = 1_024;

    /** Reads the current values. */
    public static ProcessUsage now() {
        Runtime runtime = Runtime.getRuntime();
        long cpuMs = ProcessHandle.current()
                .info()
                .totalCpuDuration()
                .map(Duration::toMillis)
                .orElse(0L);
        return new ProcessUsage(
                cpuMs, statusBytes(RESIDENT), statusBytes(ANONYMOUS), runtime.totalMemory() - runtime.freeMemory());
    }

    /** Converts to JSON for the state dump. */
    public JsonObject toJson() {
        return new JsonObject()
                .put("cpuMs", cpuMs)
                .put("residentBytes", residentBytes)
                .put("privateBytes", privateBytes)
                .put("heapBytes", heapBytes);
    }

    private static long statusBytes(String field) {
        try {
            for (String line : Files.readAllLines(STATUS_FILE)) {
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
