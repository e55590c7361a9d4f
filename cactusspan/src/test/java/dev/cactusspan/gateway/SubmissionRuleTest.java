package dev.cactusspan.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

/** Replays steps that are asked for during an outage of the store, with one retry of the client. */
final class SubmissionRuleTest {
    private static final long TIMEOUT_MS = 12_000;
    private static final long TRY_MS = 10;

    /** Outcome of one submission: when it was accepted, or -1. */
    private static long acceptedMs(long askedMs, long upMs) {
        long deadlineMs = askedMs + TIMEOUT_MS;
        long tryMs = askedMs;
        for (int attempt = 0; attempt < 2; attempt++) {
            long waitUntilMs = SubmissionRule.waitUntilMs(tryMs, deadlineMs - tryMs);
            long triedMs = tryMs;
            for (long nowMs = tryMs; nowMs < waitUntilMs; nowMs += TRY_MS) {
                boolean isTry =
                        nowMs == tryMs || SubmissionRule.isTryDue(triedMs, nowMs >= upMs, nowMs);
                if (isTry && nowMs >= upMs) {
                    return nowMs;
                }
                triedMs = isTry ? nowMs : triedMs;
            }
            long retryAfterMs =
                    Math.min(SubmissionRule.retryAfterMs(), (deadlineMs - waitUntilMs) / 3);
            tryMs = waitUntilMs + retryAfterMs;
        }
        return -1;
    }

    @Test
    void shouldAcceptRightAfterAnOutageOfSeconds() {
        for (long upMs = 0; upMs < 4_500; upMs += 100) {
            assertThat("up at " + upMs, acceptedMs(0, upMs) - upMs <= 100 + TRY_MS, is(true));
        }
    }

    @Test
    void shouldAcceptAtTheSecondTryAfterALongerOutage() {
        for (long upMs = 4_800; upMs < 8_000; upMs += 100) {
            assertThat("up at " + upMs, acceptedMs(0, upMs), greaterThan(0L));
        }
    }

    @Test
    void shouldRefuseWithTimeLeftForTheSecondTry() {
        long waitUntilMs = SubmissionRule.waitUntilMs(0, TIMEOUT_MS);
        assertThat(waitUntilMs < TIMEOUT_MS / 2, is(true));
    }

    @Test
    void shouldNotWaitLongerThanAShortClientAllows() {
        assertThat(SubmissionRule.waitUntilMs(1_000, 500), is(1_200L));
    }
}
