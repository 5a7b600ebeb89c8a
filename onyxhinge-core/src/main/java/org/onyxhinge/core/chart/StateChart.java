package org.onyxhinge.core.chart;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

import org.ini4j.Ini;
import org.ini4j.Profile;

/**
 * A finite state machine read from an INI file (see the package comment for the layout). Immutable.
 *
 * @param name the chart's name, for error messages
 * @param initial the initial state
 * @param transitions next state by state and event
 */
public record StateChart(String name, String initial, Map<String, Map<String, String>> transitions) {

    private static final String HEADER = "chart";

    /** Checks that every state a transition leads to is declared, and copies the map. */
    public StateChart {
        transitions = Map.copyOf(transitions);
        for (Map.Entry<String, Map<String, String>> e : transitions.entrySet()) {
            for (String next : e.getValue().values()) {
                if (!transitions.containsKey(next)) {
                    throw new IllegalArgumentException(
                            "chart " + name + ": state " + e.getKey() + " leads to undeclared state " + next);
                }
            }
        }
        if (!transitions.containsKey(initial)) {
            throw new IllegalArgumentException("chart " + name + ": initial state " + initial + " is not declared");
        }
    }

    /** Reads a chart from a class-path resource next to {@code anchor}. */
    public static StateChart fromResource(Class<?> anchor, String resource) {
        try (InputStream in = anchor.getResourceAsStream(resource)) {
            if (in == null) {
                throw new IllegalArgumentException("chart resource " + resource + " not found");
            }
            return read(resource, in);
        } catch (IOException e) {
            throw new UncheckedIOException("cannot read chart " + resource, e);
        }
    }

    /** Reads a chart from an INI stream. */
    public static StateChart read(String name, InputStream in) throws IOException {
        Ini ini = new Ini();
        ini.getConfig().setEmptySection(true);
        ini.load(in);
        Profile.Section header = ini.get(HEADER);
        if (header == null || header.get("initial") == null) {
            throw new IllegalArgumentException("chart " + name + " has no [chart] initial = ...");
        }
        Map<String, Map<String, String>> transitions = new LinkedHashMap<>();
        for (String state : ini.keySet()) {
            if (!state.equals(HEADER)) {
                transitions.put(state, Map.copyOf(ini.get(state)));
            }
        }
        return new StateChart(name, header.get("initial"), transitions);
    }

    /** The state after {@code event} in {@code state}, or empty when the chart has no such transition. */
    public Optional<String> next(String state, String event) {
        Map<String, String> out = transitions.get(state);
        return out == null ? Optional.empty() : Optional.ofNullable(out.get(event));
    }

    /** True when {@code state} has no outgoing transitions. */
    public boolean isFinal(String state) {
        Map<String, String> out = transitions.get(state);
        return out != null && out.isEmpty();
    }
}
