package dev.cactusspan.platform;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import org.junit.jupiter.api.Test;

/** Tests parsing of header values. */
final class PlatformHeadersTest {
    private static OptionalDouble limit(String value) {
        return PlatformHeaders.requestLimit(Map.of("server-limit", value));
    }

    @Test
    void shouldReadRequestLimits() {
        assertThat(limit("5.1"), is(OptionalDouble.of(5.1)));
        assertThat(limit(" 3 "), is(OptionalDouble.of(3)));
        assertThat(limit("0"), is(OptionalDouble.of(0)));
        assertThat(PlatformHeaders.requestLimit(Map.of()), is(OptionalDouble.empty()));
    }

    @Test
    void shouldIgnoreRequestLimitsThatAreNoNumbers() {
        for (String value : List.of("", "many", "-1", "NaN", "Infinity", "1e999", "5,1")) {
            assertThat(value, limit(value), is(OptionalDouble.empty()));
        }
    }
}
