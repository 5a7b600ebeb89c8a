package org.onyxhinge.wire;

import io.vertx.core.json.DecodeException;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

class BoundedJsonTest {

    /** The stacks of the platform's deploy file, and of agents. */
    private static final long STACK_BYTES = 256 << 10;

    private static String objects(int depth) {
        return "{\"a\":".repeat(depth) + "1" + "}".repeat(depth);
    }

    /** What parsing a text ends with, on a thread with a small stack. */
    private static Throwable thrownBy(String text) throws InterruptedException {
        Throwable[] thrown = new Throwable[1];
        Thread thread = new Thread(
                null,
                () -> {
                    try {
                        BoundedJson.object(text);
                    } catch (RuntimeException | StackOverflowError e) {
                        thrown[0] = e;
                    }
                },
                "small stack",
                STACK_BYTES);
        thread.start();
        thread.join();
        return thrown[0];
    }

    /** Guards against a parser that overflows the stack of the thread that reads for all. */
    @Nested
    class NestedDeeply {

        @ParameterizedTest
        @ValueSource(ints = {65, 500, 990, 2_000, 500_000})
        void objectsAreRejected(int depth) throws InterruptedException {
            assertThat(thrownBy(objects(depth)), is(instanceOf(DecodeException.class)));
            assertThat(thrownBy("{\"a\":".repeat(depth)), is(instanceOf(DecodeException.class)));
        }

        @ParameterizedTest
        @ValueSource(ints = {65, 500, 990, 2_000, 500_000})
        void listsAreRejected(int depth) throws InterruptedException {
            assertThat(thrownBy("[".repeat(depth)), is(instanceOf(DecodeException.class)));
            assertThat(thrownBy("{\"a\":" + "[".repeat(depth)), is(instanceOf(DecodeException.class)));
        }

        /** Guards against text whose quotes hide from the count what the parser descends into. */
        @ParameterizedTest
        @ValueSource(strings = {"{\"a\\\"\":", "{\"\\\\\":", "{\"[\":", "{\"a]]\":", "[\"\\\\\\\"\","})
        void levelsBesideStringsAreRejected(String level) throws InterruptedException {
            assertThat(thrownBy(level.repeat(2_000)), is(instanceOf(DecodeException.class)));
        }
    }

    @Nested
    class Accepted {

        @Test
        void nestedAsDeepAsTheLimit() {
            assertThat(BoundedJson.object(objects(64)).size(), is(1));
        }

        @Test
        void bracketsInStrings() {
            String brackets = "[{".repeat(1_000);
            assertThat(
                    BoundedJson.object("{\"a\\\"" + brackets + "\":\"" + brackets + "\\\\\",\"b\":[1]}")
                            .getJsonArray("b")
                            .size(),
                    is(1));
        }

        @Test
        void manyLevelsThatAreClosed() {
            assertThat(
                    BoundedJson.object("{\"a\":[" + "[{}],".repeat(1_000) + "1]}")
                            .getJsonArray("a")
                            .size(),
                    is(1_001));
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "null", "7", "\"x\"", "{", "{}x", "\"[[[", "]]]]"})
    void whatIsNoObjectIsRejected(String text) {
        assertThrows(DecodeException.class, () -> BoundedJson.object(text));
    }
}
