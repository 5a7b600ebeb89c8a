package org.onyxhinge.core.schedule;

import java.util.Set;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class RefusalReasonTest {

    /** Statuses that promise a caller that its request has not run and never will. */
    private static final Set<Integer> PROMISE_NOT_RUN = Set.of(408, 421, 429, 503);

    /** Guards against a caller that sends a request again which has run. */
    @ParameterizedTest
    @EnumSource
    void statusOfARequestThatMayHaveRunPromisesNothing(RefusalReason reason) {
        assertThat(!reason.notRun() && PROMISE_NOT_RUN.contains(reason.httpStatus()), is(false));
    }
}
