package dev.cactusspan.duty;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import dev.cactusspan.id.AccountId;
import dev.cactusspan.store.FakeKeyStore;
import dev.cactusspan.store.ManualThread;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Tests usage windows under lost responses, an outage and holders that stop. */
final class UsageReporterTest {
    private static final long TICK_MS = 50;

    private final ManualThread mThread = new ManualThread();
    private final FakeKeyStore mStore = new FakeKeyStore(mThread);
    private final List<DutyNode.Report> mReports = new ArrayList<>();
    private final List<DutyNode> mNodes = DutyNode.nodes(3, mStore, mThread, mReports);
    private final Map<Long, Long> mExpected = new HashMap<>();

    private void run(long ms, Random random) {
        for (long i = 0; i < ms; i += TICK_MS) {
            mThread.advance(TICK_MS);
            mStore.step();
            mThread.runAll();
            mNodes.forEach(DutyNode::tick);
            if (random.nextInt(4) == 0) {
                mNodes.get(random.nextInt(3)).usage().count(AccountId.of("acme"));
                mExpected.merge(mThread.nowMs() / DutyNode.WINDOW_MS, 1L, Long::sum);
            }
        }
    }

    private void assertNoConflictingReports() {
        Map<Long, Map<String, Long>> byWindow = new HashMap<>();
        for (DutyNode.Report report : mReports) {
            Map<String, Long> former = byWindow.putIfAbsent(report.window(), report.counts());
            assertThat(former == null ? report.counts() : former, is(report.counts()));
        }
    }

    private void assertCountsAreExact() {
        Map<Long, Long> reported = new HashMap<>();
        mReports.forEach(r -> reported.put(r.window(), r.counts().get("acme")));
        long lastDue = (mThread.nowMs() - 10_000) / DutyNode.WINDOW_MS - 1;
        mExpected.forEach(
                (window, count) -> {
                    if (window <= lastDue) {
                        assertThat("window " + window, reported.get(window), is(count));
                    }
                });
    }

    @Test
    void shouldReportEachWindowExactly() {
        run(40_000, new Random(1));
        assertNoConflictingReports();
        assertCountsAreExact();
    }

    @Test
    void shouldReportEachWindowExactlyAfterAnOutage() {
        run(12_000, new Random(1));
        mStore.setDown(true);
        run(4_000, new Random(2));
        mStore.setDown(false);
        run(40_000, new Random(3));
        assertNoConflictingReports();
        assertCountsAreExact();
    }

    @Property(seed = "61", tries = 30)
    void shouldNeverSendConflictingReportsOfAWindow(@ForAll long seed) {
        UsageReporterTest fresh = new UsageReporterTest();
        fresh.play(new Random(seed));
    }

    private void play(Random random) {
        mStore.setFaults(random, 0.1, 0.1);
        for (int i = 0; i < 8; i++) {
            run(4_000, random);
            mNodes.forEach(n -> n.pause(false));
            if (random.nextBoolean()) {
                mNodes.get(random.nextInt(3)).pause(true);
            }
        }
        assertNoConflictingReports();
    }
}
