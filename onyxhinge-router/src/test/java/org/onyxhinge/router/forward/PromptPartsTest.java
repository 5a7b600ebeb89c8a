package org.onyxhinge.router.forward;

import java.util.Collections;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

class PromptPartsTest {

    private static List<String> shared(String header) {
        return PromptParts.parse(header).shared();
    }

    @Test
    void lastPartIsNotShared() {
        assertThat(shared("5c1e07a2:800,91BD3F06:410, e4402b7d:250"), is(List.of("5c1e07a2", "91bd3f06")));
        assertThat(shared("5c1e07a2:800"), is(empty()));
    }

    @Test
    void entriesWithoutAnIdAndDuplicatesAreSkipped() {
        assertThat(shared(" ,a:1,:5,a:2,b,, last:1"), is(List.of("a", "b")));
        assertThat(shared("x".repeat(PromptParts.MAX_ID_CHARS + 1) + ":1,a:1,last:1"), is(List.of("a")));
        assertThat(shared(null), is(empty()));
        assertThat(shared(" "), is(empty()));
    }

    /** Guards against a caller that makes routers remember any number of parts. */
    @Test
    void partsAreBounded() {
        String many = IntStream.range(0, 5_000).mapToObj(i -> "p" + i + ":1").collect(Collectors.joining(","));
        assertThat(shared(many).size(), is(PromptParts.MAX_PARTS));
        assertThat(shared(String.join(",", Collections.nCopies(5_000, "p:1"))), is(List.of("p")));
    }

    @Property(tries = 300, seed = "54")
    void anyTextIsAccepted(@ForAll String header) {
        assertThat(shared(header).size(), lessThanOrEqualTo(PromptParts.MAX_PARTS));
    }
}
