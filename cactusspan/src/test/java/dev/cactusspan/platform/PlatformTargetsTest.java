package dev.cactusspan.platform;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasEntry;
import static org.hamcrest.Matchers.hasKey;
import static org.hamcrest.Matchers.not;

import dev.cactusspan.fleet.FakeTargets;
import dev.cactusspan.fleet.TargetRequest;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

/** Checks the headers of requests to targets. */
final class PlatformTargetsTest {
    private static Map<String, String> headers(OptionalInt priority) {
        TargetRequest request =
                new TargetRequest(
                        "id",
                        "POST",
                        "/",
                        "h",
                        Map.of(),
                        new byte[0],
                        Optional.empty(),
                        1_000,
                        OptionalLong.empty(),
                        priority);
        return PlatformTargets.headers(FakeTargets.record("t", "lm", 1, 1), request);
    }

    @Test
    void shouldNameTheUrgencyOfARequest() {
        assertThat(headers(OptionalInt.of(0)), hasEntry("Request-Priority", "0"));
    }

    @Test
    void shouldLeaveTheUrgencyToTheTargetWhereNoneIsSet() {
        assertThat(headers(OptionalInt.empty()), not(hasKey("Request-Priority")));
    }
}
