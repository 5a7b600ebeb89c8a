package org.onyxhinge.core.place;

import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

class RendezvousOrderTest {

    private static final List<String> ROUTERS =
            IntStream.range(0, 31).mapToObj(i -> "router-" + i).toList();

    private static RendezvousOrder orderAt(String self) {
        RendezvousOrder order = new RendezvousOrder(self);
        ROUTERS.stream().filter(r -> !r.equals(self)).forEach(order::add);
        return order;
    }

    private static Set<Integer> positions(List<String> routers, String name) {
        return routers.stream().map(r -> orderAt(r).position(name)).collect(Collectors.toSet());
    }

    @Test
    void allRoutersAgreeOnTheOrder() {
        assertThat(positions(ROUTERS, "target-7").size(), is(ROUTERS.size()));
    }

    /** Guards against routers that look for a copy elsewhere because one router of the fleet has just gone. */
    @Test
    void firstRoutersStayWhenAnotherIsLost() {
        for (long hash = 0; hash < 100; hash++) {
            List<String> first = RendezvousOrder.first(ROUTERS, hash, 4);
            String lost = RendezvousOrder.first(ROUTERS, hash, ROUTERS.size()).getLast();
            List<String> left =
                    ROUTERS.stream().filter(r -> !r.equals(lost)).sorted().toList();
            assertThat(RendezvousOrder.first(left, hash, 4), is(first));
        }
    }

    @Test
    void routerOfTheNameIsLeftOut() {
        List<String> others =
                ROUTERS.stream().filter(r -> !r.equals("router-3")).toList();
        assertThat(
                positions(others, "router-3"),
                is(IntStream.range(0, others.size()).boxed().collect(Collectors.toSet())));
    }

    @Test
    void routerComesFirstForSomeNamesOnly() {
        RendezvousOrder order = orderAt("router-0");
        long first = IntStream.range(0, 310)
                .filter(i -> order.position("target-" + i) == 0)
                .count();
        assertThat(first, greaterThan(0L));
        assertThat(310 - first, greaterThan(200L));
    }

    @Test
    void singleRouterComesFirst() {
        RendezvousOrder order = orderAt("router-0");
        order.position("target-1");
        ROUTERS.forEach(order::remove);
        assertThat(order.position("target-1"), is(0));
    }
}
