package org.onyxhinge.core.place;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Divides the routers of a large fleet into groups, by data centre, and assigns the targets of each service to the
 * groups. Routers of one group notify each other at once of what they do with the group's targets, so the message
 * volume of a router and the freshness of its view depend on the size of its group and not on that of the fleet.
 *
 * <p>Each router computes the groups independently from the registry. While two routers have read different states of
 * it, they may take the same slot or leave it unused.
 */
final class RouterGroups {

    /** Up to this size a fleet is a single group: its routers update each other often enough. */
    static final int MAX_UNDIVIDED = 12;

    /** A data centre with more than one and a half times as many routers is divided into several groups. */
    private static final int TYPICAL_GROUP_SIZE = 8;

    /** Fewer routers would pool too few slots, so they are merged with those of another data centre. */
    private static final int MIN_GROUP_SIZE = 5;

    /** With fewer targets per group, losing one target, or a slow one, would leave a group without any. */
    private static final int MIN_TARGETS_PER_GROUP = 3;

    private final int maxUndivided;
    private final TreeMap<String, String> dataCentres = new TreeMap<>();
    private final Map<String, Integer> groups = new HashMap<>();
    private List<Integer> sizes = List.of();

    /** Creates an empty fleet that is divided once it has more than {@code maxUndivided} routers. */
    RouterGroups(int maxUndivided) {
        this.maxUndivided = maxUndivided;
    }

    /** Adds a router or moves it to another data centre; returns whether anything changed. */
    boolean add(String router, String dataCentre) {
        boolean changed = !dataCentre.equals(dataCentres.put(router, dataCentre));
        if (changed) {
            regroup();
        }
        return changed;
    }

    /** Removes a router; returns whether it was present. */
    boolean remove(String router) {
        boolean changed = dataCentres.remove(router) != null;
        if (changed) {
            regroup();
        }
        return changed;
    }

    /** Number of groups. */
    int count() {
        return sizes.size();
    }

    /** Returns the group of a router, numbered from 0; -1 for a router that is not registered. */
    int groupOf(String router) {
        return groups.getOrDefault(router, -1);
    }

    boolean isDataCentreKnown(String router) {
        return !dataCentres.getOrDefault(router, "").isEmpty();
    }

    private void regroup() {
        List<List<String>> divided =
                dataCentres.size() <= maxUndivided ? List.of(List.copyOf(dataCentres.keySet())) : byDataCentre();
        groups.clear();
        for (int g = 0; g < divided.size(); g++) {
            for (String router : divided.get(g)) {
                groups.put(router, g);
            }
        }
        sizes = divided.stream().map(List::size).toList();
    }

    private List<List<String>> byDataCentre() {
        Map<String, List<String>> routers = new TreeMap<>();
        dataCentres.forEach((router, dc) ->
                routers.computeIfAbsent(dc, d -> new ArrayList<>()).add(router));
        List<List<String>> out = new ArrayList<>();
        List<String> pending = new ArrayList<>();
        for (List<String> here : routers.values()) {
            here.sort(Comparator.comparing(RendezvousOrder::hash));
            pending.addAll(here);
            if (pending.size() >= MIN_GROUP_SIZE) {
                out.addAll(split(pending));
                pending = new ArrayList<>();
            }
        }
        if (!pending.isEmpty()) {
            out.getLast().addAll(pending);
        }
        return out;
    }

    /** Splits a list into groups of about the typical size. */
    private static List<List<String>> split(List<String> routers) {
        int parts = Math.max(1, (routers.size() + TYPICAL_GROUP_SIZE / 2 - 1) / TYPICAL_GROUP_SIZE);
        List<List<String>> out = new ArrayList<>();
        for (int p = 0; p < parts; p++) {
            out.add(new ArrayList<>(routers.subList(p * routers.size() / parts, (p + 1) * routers.size() / parts)));
        }
        return out;
    }

    /** Whether a service has too few targets to be divided, so that all routers share all of them. */
    boolean isShared(int targets) {
        return count() <= 1 || targets < MIN_TARGETS_PER_GROUP * count();
    }

    /**
     * Assigns the targets of a service to the groups, in proportion to the number of routers per group and ordered by
     * data centre. Adding or removing a router or target reassigns few of the others.
     *
     * @return the group of each target, by incarnation
     */
    Map<String, Integer> assign(Collection<Target> targets) {
        List<Target> inOrder = new ArrayList<>(targets);
        inOrder.sort(Comparator.comparing(Target::dataCentre)
                .thenComparing(t -> RendezvousOrder.hash(t.incarnation()))
                .thenComparing(Target::incarnation));
        Map<String, Integer> out = new HashMap<>();
        int routers = dataCentres.size();
        int group = 0;
        int routersUpToGroup = sizes.getFirst();
        for (int i = 0; i < inOrder.size(); i++) {
            // Compares the midpoint of the target's share, so that rounding favours neither end.
            while ((2L * i + 1) * routers > 2L * routersUpToGroup * inOrder.size()) {
                group++;
                routersUpToGroup += sizes.get(group);
            }
            out.put(inOrder.get(i).incarnation(), group);
        }
        return out;
    }
}
