package dev.cactusspan.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import dev.cactusspan.id.SoftwareVersion;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests where interrupted texts go on while a service is upgraded. */
final class ResumeRuleTest {
    private static final SoftwareVersion OLD = SoftwareVersion.of("v1");
    private static final SoftwareVersion NEW = SoftwareVersion.of("v2");
    private static final long TICK_MS = 10;

    @Test
    void shouldContinueOnlyAtTheVersionOfTheFirstEvent() {
        assertThat(ResumeRule.mayContinue(OLD, OLD), is(true));
        assertThat(ResumeRule.mayContinue(OLD, NEW), is(false));
        assertThat(ResumeRule.mayContinue(SoftwareVersion.NONE, NEW), is(true));
    }

    @Test
    void shouldRestartAtOnceWhenTheVersionHasLeft() {
        assertThat(ResumeRule.shouldRestart(false, 200, 0), is(true));
        assertThat(ResumeRule.shouldRestart(true, 200, 0), is(false));
    }

    /**
     * Replays 24 texts of the former version that are interrupted at once, while its last target
     * takes one of them each 100 ms and targets of the new version are idle: long texts go on, as
     * far as that target has room in time, and none waits longer than it takes to begin again.
     */
    @Test
    void shouldNotWaitLongerThanTheEventsTakeAgain() {
        List<Integer> waiting = new ArrayList<>();
        for (int i = 1; i <= 24; i++) {
            waiting.add(8 * i);
        }
        int continued = 0;
        for (long nowMs = 0; !waiting.isEmpty(); nowMs += TICK_MS) {
            if (nowMs % 100 == 0) {
                waiting.remove(waiting.size() - 1);
                continued++;
            }
            long waitedMs = nowMs;
            waiting.removeIf(events -> ResumeRule.shouldRestart(true, events, waitedMs));
            for (int events : waiting) {
                assertThat(waitedMs, is(lessThanOrEqualTo(events * ResumeRule.EVENT_MS)));
            }
            assertThat(nowMs, is(lessThanOrEqualTo(ResumeRule.MAX_WAIT_MS)));
        }
        assertThat(continued, is(greaterThan(10)));
    }
}
