package org.onyxhinge.core.collect;

import java.util.Map;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;

class BoundedMapTest {

    private static void fill(Map<Integer, String> map) {
        map.put(1, "a");
        map.put(2, "b");
        map.get(1);
        map.put(3, "c");
    }

    @Test
    void dropsTheEntryThatWasAddedFirst() {
        Map<Integer, String> map = BoundedMap.dropOldest(2);
        fill(map);
        assertThat(map.keySet(), contains(2, 3));
    }

    @Test
    void dropsTheEntryThatWasUsedLongestAgo() {
        Map<Integer, String> map = BoundedMap.dropLeastRecentlyUsed(2);
        fill(map);
        assertThat(map.keySet(), contains(1, 3));
    }
}
