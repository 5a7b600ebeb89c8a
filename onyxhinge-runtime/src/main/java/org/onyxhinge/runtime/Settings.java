package org.onyxhinge.runtime;

import java.io.IOException;
import java.io.Reader;
import java.io.StringReader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;

import io.vavr.control.Either;
import org.ini4j.Ini;
import org.ini4j.InvalidFileFormatException;
import org.ini4j.Profile;

/**
 * Settings from an INI file parsed with ini4j. The typed getters collect problems instead of stopping at
 * the first one. Call {@link #check()} after reading all values: it reports every invalid or unknown key,
 * so that a typo is found at start and not at the first request.
 */
public final class Settings {

    private final String source;
    private final Ini ini;
    private final List<String> problems = new ArrayList<>();
    private final Map<String, Set<String>> requestedKeys = new java.util.HashMap<>();

    private Settings(String source, Ini ini) {
        this.source = source;
        this.ini = ini;
    }

    /** Reads a settings file; the left value names the file and why it cannot be read. */
    public static Either<SettingsException, Settings> load(Path file) {
        if (!Files.isRegularFile(file)) {
            return Either.left(new SettingsException(file.toString(), List.of("no such settings file")));
        }
        try (Reader in = Files.newBufferedReader(file)) {
            return parse(file.toString(), in);
        } catch (IOException e) {
            return Either.left(new SettingsException(file.toString(), List.of("cannot read: " + e.getMessage())));
        }
    }

    /** Parses settings from a string, for tests and embedded defaults. */
    public static Either<SettingsException, Settings> fromText(String source, String text) {
        return parse(source, new StringReader(text));
    }

    private static Either<SettingsException, Settings> parse(String source, Reader in) {
        Ini ini = new Ini();
        ini.getConfig().setEmptySection(true);
        try {
            ini.load(in);
            return Either.right(new Settings(source, ini));
        } catch (InvalidFileFormatException e) {
            return Either.left(new SettingsException(source, List.of("not INI: " + e.getMessage())));
        } catch (IOException e) {
            return Either.left(new SettingsException(source, List.of("cannot read: " + e.getMessage())));
        }
    }

    /** The section names, in file order. */
    public List<String> sections() {
        return List.copyOf(ini.keySet());
    }

    /** A text value; a missing key is a problem if {@code fallback} is null. */
    public String text(String section, String key, String fallback) {
        String raw = raw(section, key);
        if (raw == null && fallback == null) {
            problems.add("[" + section + "] " + key + ": required");
        }
        return raw == null ? fallback : raw.trim();
    }

    /** A required text value. */
    public String text(String section, String key) {
        return text(section, key, null);
    }

    /** An integer within {@code min..max}. */
    public long number(String section, String key, long fallback, long min, long max) {
        String raw = raw(section, key);
        if (raw == null) {
            return fallback;
        }
        try {
            long value = Long.parseLong(raw.trim().replace("_", ""));
            if (value < min || value > max) {
                problems.add("[" + section + "] " + key + ": must be " + min + ".." + max + ", was " + value);
            }
            return value;
        } catch (NumberFormatException e) {
            problems.add("[" + section + "] " + key + ": not a whole number: '" + raw + "'");
            return fallback;
        }
    }

    /** A TCP port; 0 selects any free port. */
    public int port(String section, String key, int fallback) {
        return (int) number(section, key, fallback, 0, 65_535);
    }

    /** A boolean value. */
    public boolean flag(String section, String key, boolean fallback) {
        String raw = raw(section, key);
        if (raw == null) {
            return fallback;
        }
        return switch (raw.trim().toLowerCase(java.util.Locale.ROOT)) {
            case "true", "yes", "on", "1" -> true;
            case "false", "no", "off", "0" -> false;
            default -> {
                problems.add("[" + section + "] " + key + ": must be true or false, was '" + raw + "'");
                yield fallback;
            }
        };
    }

    /** Adds a problem found by the caller's own validation. */
    public void problem(String section, String key, String what) {
        problems.add("[" + section + "] " + key + ": " + what);
    }

    /** Returns these settings, or all collected problems and all keys that no getter has read. */
    public Either<SettingsException, Settings> check() {
        List<String> all = new ArrayList<>(problems);
        for (String section : ini.keySet()) {
            Profile.Section s = ini.get(section);
            Set<String> requested = requestedKeys.getOrDefault(section, Set.of());
            for (String key : s.keySet()) {
                if (!requested.contains(key)) {
                    all.add("[" + section + "] " + key + ": unknown key");
                }
            }
        }
        return all.isEmpty() ? Either.right(this) : Either.left(new SettingsException(source, all));
    }

    private String raw(String section, String key) {
        requestedKeys.computeIfAbsent(section, s -> new java.util.HashSet<>()).add(key);
        Profile.Section s = ini.get(section);
        return s == null ? null : s.get(key);
    }
}
