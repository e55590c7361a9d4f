package dev.cactusspan.lease;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import dev.cactusspan.id.FencingNumber;
import dev.cactusspan.platform.FakeKeyValues;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Leases under process pauses, lost responses, late writes and clock offsets. */
final class DutyLeaseTest {
    private static final String KEY = "duties/e/d";
    private static final LeaseTimes TIMES = LeaseTimes.STANDARD;

    /** A process with its own clock that can be paused. */
    private static final class Contender {
        private final DutyLease mLease;
        private final long mClockOffsetMs;
        private long mPausedUntilMs;

        Contender(String name, long clockOffsetMs) {
            mLease = new DutyLease(name, TIMES);
            mLease.setCandidate(true);
            mClockOffsetMs = clockOffsetMs;
        }

        boolean isPaused(long timeMs) {
            return timeMs < mPausedUntilMs;
        }

        Optional<FencingNumber> held(long timeMs) {
            return mLease.heldFencingNumber(timeMs + mClockOffsetMs);
        }

        void step(FakeKeyValues keyValues, long timeMs) {
            long nowMs = timeMs + mClockOffsetMs;
            Optional<DutyLease.Step> step = mLease.nextStep(nowMs);
            if (step.isEmpty()) {
                return;
            }
            if (step.get() instanceof DutyLease.Step.Write write) {
                var unused =
                        keyValues
                                .compareAndSwap(KEY, write.expectedVersion(), write.value())
                                .thenAccept(r -> mLease.onWritten(r, nowMs));
                return;
            }
            var unused = keyValues.get(KEY).thenAccept(r -> mLease.onRead(r, nowMs));
        }
    }

    @Property(seed = "41", tries = 300)
    void shouldHaveAtMostOneHolderAndIncreasingFencingNumbers(@ForAll long seed) {
        Random random = new Random(seed);
        FakeKeyValues keyValues = new FakeKeyValues(random);
        keyValues.faults(0.1, 0.1);
        keyValues.lateEffects(0.05);
        List<Contender> processes = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            processes.add(new Contender("p" + i, random.nextInt(1_000_000)));
        }
        long lastNumber = 0;
        int heldCount = 0;
        for (long timeMs = 0; timeMs < 200_000; timeMs += 100) {
            long now = timeMs;
            List<Contender> running = processes.stream().filter(p -> !p.isPaused(now)).toList();
            running.forEach(p -> p.step(keyValues, now));
            keyValues.step();
            List<FencingNumber> holders =
                    processes.stream().flatMap(p -> p.held(now).stream()).toList();
            assertThat("holders at " + now, holders.size(), lessThanOrEqualTo(1));
            for (FencingNumber number : holders) {
                assertThat(number.number(), greaterThanOrEqualTo(Math.max(1, lastNumber)));
                lastNumber = number.number();
                heldCount++;
            }
            if (random.nextInt(200) == 0) {
                Contender paused = processes.get(random.nextInt(processes.size()));
                paused.mPausedUntilMs = timeMs + random.nextInt(30_000);
            }
            if (random.nextInt(500) == 0) {
                processes.get(random.nextInt(processes.size())).mLease.release();
            }
            if (random.nextInt(50) == 0) {
                processes.forEach(p -> p.mLease.setCandidate(true));
            }
        }
        assertThat(heldCount, greaterThan(0));
    }

    @Test
    void shouldNotBeHeldBeforeItIsAcquired() {
        DutyLease lease = new DutyLease("p", TIMES);
        lease.setCandidate(true);
        assertThat(lease.heldFencingNumber(0), is(Optional.empty()));
        assertThat(lease.heldFencingNumber(Long.MAX_VALUE / 2), is(Optional.empty()));
        assertThat(lease.heldFencingNumber(-5), is(Optional.empty()));
    }

    @Test
    void shouldExpireWhenTheHolderIsPaused() {
        FakeKeyValues keyValues = new FakeKeyValues(new Random(1));
        Contender process = new Contender("p", 0);
        for (int i = 0; i < 5; i++) {
            process.step(keyValues, i * 100L);
            keyValues.step();
        }
        assertThat(process.held(1_000).isPresent(), is(true));
        assertThat(process.held(1_000 + TIMES.ttlMs()), is(Optional.empty()));
    }
}
