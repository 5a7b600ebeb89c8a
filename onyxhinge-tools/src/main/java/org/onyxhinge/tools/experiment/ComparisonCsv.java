package org.onyxhinge.tools.experiment;

import java.io.IOException;
import java.io.Writer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import org.apache.commons.csv.CSVFormat;
import org.apache.commons.csv.CSVPrinter;
import org.onyxhinge.tools.load.TierSummary;

/** Writes a comparison as CSV with one row per run and tier. Times are in milliseconds, prefill is in tokens. */
final class ComparisonCsv {

    private static final CSVFormat FORMAT = CSVFormat.DEFAULT
            .builder()
            .setRecordSeparator("\n")
            .setHeader(
                    "policy",
                    "scenario",
                    "load",
                    "tier",
                    "sent",
                    "whole",
                    "in_time",
                    "goodput",
                    "first_token_p50_ms",
                    "first_token_p95_ms",
                    "first_token_p99_ms",
                    "gap_p95_ms",
                    "refused",
                    "run_prefill_tokens",
                    "run_wasted_prefill_tokens")
            .get();

    private ComparisonCsv() {}

    static void write(Path file, List<RunResult> results) throws IOException {
        try (Writer w = Files.newBufferedWriter(file);
                CSVPrinter csv = new CSVPrinter(w, FORMAT)) {
            for (RunResult r : results) {
                for (TierSummary t : r.tiers()) {
                    csv.printRecord(
                            r.spec().policy().settingName(),
                            r.spec().scenario().label(),
                            r.spec().loadFactor(),
                            t.tier(),
                            t.sent(),
                            t.complete(),
                            t.inTime(),
                            String.format("%.4f", t.goodput()),
                            t.firstTokenMs().getValueAtPercentile(50),
                            t.firstTokenMs().getValueAtPercentile(95),
                            t.firstTokenMs().getValueAtPercentile(99),
                            t.gapMs().getValueAtPercentile(95),
                            t.refusedByReason(),
                            r.prefillComputedTokens(),
                            r.prefillWastedTokens());
                }
            }
        }
    }
}
