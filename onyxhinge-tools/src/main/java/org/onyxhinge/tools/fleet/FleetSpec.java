package org.onyxhinge.tools.fleet;

import java.util.ArrayList;
import java.util.List;

import io.vavr.control.Either;
import org.onyxhinge.core.engine.EngineSpec;
import org.onyxhinge.runtime.Settings;
import org.onyxhinge.runtime.SettingsException;

/**
 * A site to simulate, read from an INI file with the sections {@code [site]}, {@code [engines]}, {@code [sizes]},
 * {@code [kind NAME]} and {@code [workspace NAME]}. See {@code examples/kingston/fleet.ini}.
 *
 * @param dataCentres number of data centres; routers and engines are assigned to them in turn
 * @param routers number of routers
 * @param engines number of engines
 * @param engine the reference engine
 * @param speedSpreadPercent how much slower than the reference the slowest engine is, and how much faster the fastest
 * @param distinctEngines number of engines with distinct speeds; further engines repeat these, so that a scaled site
 *     has the same mix
 * @param durationPercents step durations of the engine generations relative to the reference, in percent; generations
 *     alternate within each data centre. If empty, speeds are spread evenly.
 * @param deadlineSpreadPercent maximum reduction of a caller's deadline below that of its kind; uniformly distributed
 * @param sizes distribution of request sizes within a kind
 * @param kinds the kinds of request
 * @param workspaces the workspaces and their shares of the load
 */
record FleetSpec(
        int dataCentres,
        int routers,
        int engines,
        EngineSpec engine,
        int speedSpreadPercent,
        int distinctEngines,
        List<Integer> durationPercents,
        int deadlineSpreadPercent,
        SizeDistribution sizes,
        List<RequestKind> kinds,
        List<WorkspaceShare> workspaces) {

    private static final int MAX_COUNT = 2_000;
    private static final double PER_THOUSAND = 1_000.0;
    private static final double PERCENT = 100.0;

    /** Reads a site; the left side lists every invalid key. */
    static Either<SettingsException, FleetSpec> read(Settings settings) {
        EngineSpec engine = new EngineSpec(
                (int) settings.number("engines", "slots", 9, 1, MAX_COUNT),
                (int) settings.number("engines", "queue_limit", 64, 0, MAX_COUNT),
                settings.number("engines", "step_us", 2_200, 1, 1_000_000) / PER_THOUSAND,
                settings.number("engines", "step_us_per_run", 45, 0, 1_000_000) / PER_THOUSAND,
                settings.number("engines", "prefill_tokens_per_second", 61_200, 1, 1_000_000_000) / PER_THOUSAND,
                (int) settings.number("engines", "chunk_tokens", 512, 1, 1_000_000),
                (int) settings.number("engines", "tokens_per_event", 6, 1, 1_000),
                settings.number("engines", "memory_tokens", 500_000, 1, 1_000_000_000));
        List<RequestKind> kinds = new ArrayList<>();
        List<WorkspaceShare> workspaces = new ArrayList<>();
        for (String section : settings.sections()) {
            String[] parts = section.trim().split("\\s+", 2);
            if (parts[0].equals("kind") && parts.length == 2) {
                kinds.add(readKind(settings, section, parts[1]));
            } else if (parts[0].equals("workspace") && parts.length == 2) {
                workspaces.add(new WorkspaceShare(parts[1], settings.number(section, "share", 1, 1, 1_000_000), (int)
                        settings.number(section, "rank", 0, 0, 1_000)));
            }
        }
        FleetSpec spec = new FleetSpec(
                (int) settings.number("site", "data_centres", 3, 1, MAX_COUNT),
                (int) settings.number("site", "routers", 4, 1, MAX_COUNT),
                (int) settings.number("engines", "count", 13, 1, MAX_COUNT),
                engine,
                (int) settings.number("engines", "unlike_percent", 20, 0, 90),
                (int) settings.number("engines", "count", 13, 1, MAX_COUNT),
                readDurationPercents(settings),
                (int) settings.number("site", "patience_percent", 0, 0, 90),
                readSizes(settings),
                List.copyOf(kinds),
                List.copyOf(workspaces));
        if (kinds.isEmpty() || workspaces.isEmpty()) {
            settings.problem("site", "-", "at least one [kind NAME] and one [workspace NAME] are needed");
        }
        return settings.check().map(ok -> spec);
    }

    private static SizeDistribution readSizes(Settings settings) {
        return new SizeDistribution(
                settings.number("sizes", "prompt_sigma_percent", 90, 0, 300) / PERCENT,
                settings.number("sizes", "output_sigma_percent", 90, 0, 300) / PERCENT,
                settings.number("sizes", "largest", 4, 1, 1_000),
                settings.number("sizes", "estimate_sigma_percent", -1, -1, 300) / PERCENT,
                settings.number("sizes", "worth_percent", 0, 0, 100) / PERCENT);
    }

    private static List<Integer> readDurationPercents(Settings settings) {
        List<Integer> out = new ArrayList<>();
        for (String part : settings.text("engines", "pace_percents", "").split(",")) {
            try {
                if (!part.isBlank()) {
                    out.add(Integer.parseUnsignedInt(part.trim()));
                }
            } catch (NumberFormatException e) {
                settings.problem("engines", "pace_percents", "must be whole numbers, was '" + part.trim() + "'");
            }
        }
        return List.copyOf(out);
    }

    private static RequestKind readKind(Settings settings, String section, String name) {
        return new RequestKind(
                name,
                (int) settings.number(section, "rank", 0, 0, 999),
                settings.number(section, "per_minute", 60, 1, 100_000_000) / 60.0,
                (int) settings.number(section, "prompt_tokens", 600, 1, 10_000_000),
                (int) settings.number(section, "output_tokens", 300, 1, 10_000_000),
                settings.number(section, "target_latency_ms", 400, 1, 3_600_000),
                settings.number(section, "gap_target_ms", 400, 1, 3_600_000),
                settings.number(section, "deadline_ms", 12_000, 1, 3_600_000),
                settings.number(section, "worth_percent", 100, 1, 1_000_000) / 100.0,
                settings.number(section, "late_worth_percent", 30, 0, 1_000_000) / 100.0);
    }

    /** Returns the same site with a different number of routers. */
    FleetSpec withRouters(int routerCount) {
        return new FleetSpec(
                dataCentres,
                routerCount,
                engines,
                engine,
                speedSpreadPercent,
                distinctEngines,
                durationPercents,
                deadlineSpreadPercent,
                sizes,
                kinds,
                workspaces);
    }

    /** Returns the site with the given number of routers, and engines and requests scaled in proportion. */
    FleetSpec scaledTo(int routerCount) {
        double factor = (double) routerCount / routers;
        List<RequestKind> scaledKinds =
                kinds.stream().map(k -> k.scaledBy(factor)).toList();
        int scaledEngines = (int) Math.round(engines * factor);
        return new FleetSpec(
                dataCentres,
                routerCount,
                scaledEngines,
                engine,
                speedSpreadPercent,
                distinctEngines,
                durationPercents,
                deadlineSpreadPercent,
                sizes,
                scaledKinds,
                workspaces);
    }

    /** Returns the same site with caller deadlines that differ by up to {@code percent}. */
    FleetSpec withDeadlineSpreadPercent(int percent) {
        return new FleetSpec(
                dataCentres,
                routers,
                engines,
                engine,
                speedSpreadPercent,
                distinctEngines,
                durationPercents,
                percent,
                sizes,
                kinds,
                workspaces);
    }

    /** Returns engine {@code i}: of alternating generations, or spread evenly between the fastest and the slowest. */
    EngineSpec engineAt(int i) {
        int index = i % distinctEngines;
        if (!durationPercents.isEmpty()) {
            return engine.slower(durationPercents.get(index / dataCentres % durationPercents.size()) / PERCENT);
        }
        double position = distinctEngines == 1 ? 0 : 2.0 * index / (distinctEngines - 1) - 1;
        return engine.slower(1 + position * speedSpreadPercent / PERCENT);
    }
}
