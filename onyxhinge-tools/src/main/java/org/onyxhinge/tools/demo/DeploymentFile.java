package org.onyxhinge.tools.demo;

import java.util.ArrayList;
import java.util.List;

import io.vavr.control.Either;
import org.onyxhinge.runtime.Settings;
import org.onyxhinge.runtime.SettingsException;

/**
 * Parser of deployment files (INI). Sections {@code [engine NAME]} and {@code [service NAME]} describe the stand-in
 * targets of an embedded site. See {@code examples/postvirki/deployment.ini}.
 */
public final class DeploymentFile {

    private DeploymentFile() {}

    /** Returns the targets, or an exception that lists every invalid key. */
    public static Either<SettingsException, List<Target>> read(Settings s) {
        List<Target> out = new ArrayList<>();
        for (String section : s.sections()) {
            String[] parts = section.trim().split("\\s+", 2);
            boolean plain = parts[0].equals("service");
            if (parts.length != 2 || !(plain || parts[0].equals("engine"))) {
                s.problem(section, "-", "section must be 'engine NAME' or 'service NAME'");
                continue;
            }
            out.add(new Target(
                    parts[1],
                    s.text(section, "pool"),
                    plain,
                    (int) s.number(section, "max_batch", 8, 1, 10_000),
                    (int) s.number(section, "prefill_tokens_per_second", plain ? 10_000_000 : 20_000, 1, 1_000_000_000),
                    (int) s.number(section, "decode_tokens_per_second", 50, 1, 1_000_000),
                    (int) s.number(section, "cache_prefixes", 32, 0, 1_000_000),
                    s.number(section, "load_lag_ms", 200, 10, 60_000),
                    s.number(section, "latency_ms", 20, 1, 60_000)));
        }
        return s.check().map(ok -> out);
    }
}
