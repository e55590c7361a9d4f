package dev.cactusspan.forward;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import dev.cactusspan.forward.CrashGuard.Report;
import dev.cactusspan.id.TargetId;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** Requests that crash targets, and requests that only seem to. */
final class CrashGuardTest {
    private static final RequestFingerprint REQUEST = new RequestFingerprint("f");
    private static final TargetId T1 = TargetId.of("t1");
    private static final TargetId T2 = TargetId.of("t2");
    private static final TargetId T3 = TargetId.of("t3");
    private static final int MAX_RETRIES = 3;

    private final CrashGuard mGuard = new CrashGuard("a#1");

    private boolean isRefused(CrashGuard guard, long nowMs) {
        return guard.refusedMs(REQUEST, nowMs).isPresent();
    }

    private static void apply(Report report, CrashGuard guard, long nowMs) {
        if (report instanceof Report.Crash crash) {
            guard.onCrash(crash.fingerprint(), crash.crash(), crash.target(), nowMs);
        } else if (report instanceof Report.Quarantine quarantine) {
            guard.onQuarantine(quarantine.fingerprint(), nowMs);
        } else if (report instanceof Report.Cleared cleared) {
            cleared.crashes().forEach(c -> guard.onCrashRemoved(cleared.fingerprint(), c));
        } else if (report instanceof Report.Released released) {
            guard.onQuarantineRemoved(released.fingerprint());
        }
    }

    @Test
    void shouldQuarantineAfterThreeCrashes() {
        mGuard.recordCrash(REQUEST, T1, 0);
        mGuard.recordCrash(REQUEST, T2, 10);
        long laterMs = 10 + CrashGuard.COOL_DOWN_MS;
        assertThat(isRefused(mGuard, laterMs), is(false));
        mGuard.recordCrash(REQUEST, T3, laterMs);
        assertThat(isRefused(mGuard, laterMs + CrashGuard.QUARANTINE_MS - 1), is(true));
        mGuard.tick(laterMs + CrashGuard.QUARANTINE_MS);
        assertThat(isRefused(mGuard, laterMs + CrashGuard.QUARANTINE_MS), is(false));
    }

    @Test
    void shouldNotTakeAllTargetsOfASmallServiceAwayAtOnce() {
        mGuard.recordCrash(REQUEST, T1, 0);
        assertThat(isRefused(mGuard, 1), is(false));
        mGuard.recordCrash(REQUEST, T2, 100);
        assertThat(isRefused(mGuard, 101), is(true));
        assertThat(isRefused(mGuard, 99 + CrashGuard.COOL_DOWN_MS), is(true));
        assertThat(isRefused(mGuard, 100 + CrashGuard.COOL_DOWN_MS), is(false));
    }

    @Test
    void shouldCountSeveralCrashesOfOneTarget() {
        for (int i = 0; i < CrashGuard.MAX_CRASHES; i++) {
            mGuard.recordCrash(REQUEST, T1, 5_000L * i);
        }
        assertThat(isRefused(mGuard, 15_000), is(true));
    }

    /** The client's retry reached another process before that one knew of the first crash. */
    @Test
    void shouldShareTheFirstCrashAtOnce() {
        mGuard.recordCrash(REQUEST, T1, 0);
        assertThat(mGuard.takeReports(), is(List.of(new Report.Crash(REQUEST, "t1@a#1.0", T1))));
    }

    @Test
    void shouldClearSharedCrashesAfterASuccess() {
        mGuard.onCrash(REQUEST, "x", T1, 0);
        mGuard.onCrash(REQUEST, "y", T2, 0);
        mGuard.recordSuccess(REQUEST);
        assertThat(mGuard.isSuspect(REQUEST), is(false));
        Report.Cleared cleared = (Report.Cleared) mGuard.takeReports().get(0);
        assertThat(cleared.crashes().stream().sorted().toList(), is(List.of("x", "y")));
    }

    @Test
    void shouldDismissACrashOfATargetThatAnswersAtOnce() {
        mGuard.recordCrash(REQUEST, T1, 0);
        mGuard.recordCrash(REQUEST, T2, 0);
        mGuard.recordAnswer(T1, 100);
        assertThat(isRefused(mGuard, 200), is(false));
        mGuard.recordCrash(REQUEST, T3, 5_000);
        assertThat(isRefused(mGuard, 9_000), is(false));
    }

    @Test
    void shouldNotDismissACrashBecauseTheTargetIsBackLater() {
        mGuard.recordCrash(REQUEST, T1, 1_000);
        mGuard.recordCrash(REQUEST, T2, 1_000);
        mGuard.recordAnswer(T1, 1_000);
        mGuard.recordAnswer(T1, 4_000);
        mGuard.recordCrash(REQUEST, T3, 5_000);
        assertThat(isRefused(mGuard, 5_000), is(true));
    }

    /**
     * Each arrival at any of several processes may run at two targets; reports take a while, and
     * processes restart with what the store holds.
     */
    @Property(seed = "23")
    void shouldAllowThreeRetriesAtMostAfterTheThirdCrashIsKnown(
            @ForAll long seed, @ForAll @IntRange(min = 1, max = 8) int processes) {
        Random random = new Random(seed);
        List<Report> shared = new ArrayList<>();
        List<CrashGuard> guards = new ArrayList<>();
        for (int i = 0; i < processes; i++) {
            guards.add(new CrashGuard("p" + i));
        }
        int crashes = 0;
        for (int arrival = 0; arrival < 30; arrival++) {
            long nowMs = arrival * 3_000L;
            int index = random.nextInt(processes);
            for (int run = 0; run < 2 && !isRefused(guards.get(index), nowMs); run++) {
                guards.get(index).recordCrash(REQUEST, TargetId.of("t" + crashes++), nowMs);
            }
            List<Report> reports = guards.get(index).takeReports();
            shared.addAll(reports);
            guards.forEach(guard -> reports.forEach(r -> apply(r, guard, nowMs)));
            if (random.nextInt(4) == 0) {
                CrashGuard restarted = new CrashGuard("p" + index + "." + arrival);
                shared.forEach(r -> apply(r, restarted, nowMs));
                guards.set(index, restarted);
            }
        }
        assertThat(crashes, is(lessThanOrEqualTo(CrashGuard.MAX_CRASHES + MAX_RETRIES)));
    }
}
