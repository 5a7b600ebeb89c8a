package org.onyxhinge.core.place;

import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

class RouterOrderTest {

    private static final List<String> ROUTERS =
            IntStream.range(0, 31).mapToObj(i -> "router-" + i).toList();

    private static RouterOrder orderAt(String self) {
        RouterOrder order = new RouterOrder(self);
        ROUTERS.stream().filter(r -> !r.equals(self)).forEach(order::joined);
        return order;
    }

    private static Set<Integer> places(List<String> routers, String name) {
        return routers.stream().map(r -> orderAt(r).before(name)).collect(Collectors.toSet());
    }

    @Test
    void allRoutersAgreeOnOneOrder() {
        assertThat(places(ROUTERS, "target-7").size(), is(ROUTERS.size()));
    }

    @Test
    void theRouterOfTheNameTakesNoPart() {
        List<String> others =
                ROUTERS.stream().filter(r -> !r.equals("router-3")).toList();
        assertThat(
                places(others, "router-3"),
                is(IntStream.range(0, others.size()).boxed().collect(Collectors.toSet())));
    }

    @Test
    void aRouterComesFirstForSomeNamesAndNotForOthers() {
        RouterOrder order = orderAt("router-0");
        long first = IntStream.range(0, 310)
                .filter(i -> order.before("target-" + i) == 0)
                .count();
        assertThat(first, greaterThan(0L));
        assertThat(310 - first, greaterThan(200L));
    }

    @Test
    void aRouterAloneComesFirst() {
        RouterOrder order = orderAt("router-0");
        order.before("target-1");
        ROUTERS.forEach(order::left);
        assertThat(order.before("target-1"), is(0));
    }
}
