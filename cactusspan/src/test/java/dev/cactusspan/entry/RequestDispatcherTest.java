package dev.cactusspan.entry;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import dev.cactusspan.config.EnvironmentDocument.RequestClass;
import dev.cactusspan.platform.FakeKeyValues;
import dev.cactusspan.result.ErrorKind;
import dev.cactusspan.result.Failure;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/**
 * Tests requests while targets crash, refuse, truncate or lose them and the store loses responses.
 */
final class RequestDispatcherTest {
    private static final String HOLDS = "seat-holds";
    private static final String QUERIES = "booking-queries";

    private EntryHarness.Clock mClock = new EntryHarness.Clock();
    private FakeKeyValues mKeyValues;
    private FakeSideProcesses mSides;
    private EntryHarness mEntry;

    private Random start(long seed) {
        Random random = new Random(seed);
        mClock = new EntryHarness.Clock();
        mKeyValues = new FakeKeyValues(random);
        mSides = new FakeSideProcesses(random);
        EntryHarness.putDocument(mKeyValues, EntryHarness.KEY);
        mEntry = new EntryHarness("e1", mKeyValues, mSides, mClock, seed);
        settle(200);
        mEntry.listVms();
        settle(200);
        return random;
    }

    private void settle(int rounds) {
        for (int i = 0; i < rounds; i++) {
            mKeyValues.step();
            mSides.runNext();
            mClock.advance(10);
            mEntry.tick();
        }
    }

    @Property(seed = "21", tries = 200)
    void shouldEndEachRequestOnceAndRunHoldsAtMostOnce(@ForAll long seed) {
        Random random = start(seed);
        mSides.setFaultShare(0.4);
        mKeyValues.faults(0.1, 0.1);
        Map<String, RecordingSink> sinks = new HashMap<>();
        Map<String, String> keys = new HashMap<>();
        for (int i = 0; i < 60; i++) {
            String id = "r" + i;
            boolean isHold = random.nextBoolean();
            String key = isHold ? "k" + (random.nextBoolean() ? random.nextInt(12) : 100 + i) : "";
            RequestClass type = isHold ? RequestClass.NON_IDEMPOTENT : RequestClass.INTERACTIVE;
            RecordingSink sink = new RecordingSink(random.nextBoolean());
            sinks.put(id, sink);
            keys.put(id, isHold ? key : id);
            mEntry.dispatcher().admit(mEntry.spec(id, isHold ? HOLDS : QUERIES, type, key), sink);
            if (random.nextInt(20) == 0) {
                mSides.breakRandomLink();
            }
            settle(random.nextInt(4));
            mClock.advance(EntryHarness.pause(random));
        }
        mKeyValues.faults(0, 0);
        mSides.setFaultShare(0);
        settle(1_500);
        check(sinks, keys);
    }

    private void check(Map<String, RecordingSink> sinks, Map<String, String> keys) {
        mSides.runCounts()
                .forEach(
                        (key, runs) -> {
                            if (key.startsWith("k")) {
                                assertThat(key + " ran " + runs, runs, lessThanOrEqualTo(1));
                            }
                        });
        sinks.forEach(
                (id, sink) -> {
                    assertThat(id + " ended", sink.ends(), is(1));
                    String key = keys.get(id);
                    if (sink.failure().isEmpty()) {
                        assertThat(id, sink.text(), is(FakeSideProcesses.expected(key)));
                    }
                    boolean isNotRun = sink.failure().map(Failure::isNotRun).orElse(false);
                    long uses = keys.values().stream().filter(key::equals).count();
                    if (isNotRun && uses == 1) {
                        String reason = id + " " + sink.failure();
                        assertThat(reason, mSides.runCounts().containsKey(key), is(false));
                    }
                });
    }

    @Property(seed = "22", tries = 100)
    void shouldRunAHoldAtMostOnceOverTwoEntries(@ForAll long seed) {
        Random random = start(seed);
        FakeSideProcesses otherSides = new FakeSideProcesses(random);
        EntryHarness other = new EntryHarness("e2", mKeyValues, otherSides, mClock, seed + 1);
        for (int i = 0; i < 400; i++) {
            mKeyValues.step();
            otherSides.runNext();
            mClock.advance(10);
            other.tick();
            if (i == 200) {
                other.listVms();
            }
        }
        mSides.setFaultShare(0.4);
        otherSides.setFaultShare(0.4);
        mKeyValues.faults(0.1, 0.1);
        for (int i = 0; i < 40; i++) {
            EntryHarness entry = random.nextBoolean() ? mEntry : other;
            String key = "k" + random.nextInt(6);
            entry.dispatcher()
                    .admit(
                            entry.spec("r" + i, HOLDS, RequestClass.NON_IDEMPOTENT, key),
                            new RecordingSink(false));
            for (int j = random.nextInt(8); j > 0; j--) {
                settle(1);
                otherSides.runNext();
                other.tick();
            }
            mClock.advance(random.nextInt(1_000));
        }
        Map<String, Integer> total = new HashMap<>(mSides.runCounts());
        otherSides.runCounts().forEach((key, runs) -> total.merge(key, runs, Integer::sum));
        total.keySet().removeIf(key -> !key.startsWith("k"));
        total.forEach((key, runs) -> assertThat(key, runs, lessThanOrEqualTo(1)));
    }

    @Test
    void shouldEndRequestsInProgressWhenTheirKeyIsWithdrawn() {
        start(1);
        RecordingSink sink = new RecordingSink(true);
        mEntry.dispatcher().admit(mEntry.spec("r1", QUERIES, RequestClass.INTERACTIVE, ""), sink);
        EntryHarness.putDocument(mKeyValues, "csk-another");
        for (int i = 0; i < 400 && sink.ends() == 0; i++) {
            mKeyValues.step();
            mClock.advance(10);
            mEntry.tick();
        }
        assertThat(sink.failure().map(Failure::kind), is(Optional.of(ErrorKind.KEY_WITHDRAWN)));
        RecordingSink next = new RecordingSink(false);
        mEntry.dispatcher().admit(mEntry.spec("r2", QUERIES, RequestClass.INTERACTIVE, ""), next);
        assertThat(next.failure().map(Failure::kind), is(Optional.of(ErrorKind.UNAUTHENTICATED)));
    }

    @Test
    void shouldRequireAnIdempotencyKeyOnNonIdempotentRoutes() {
        start(1);
        RecordingSink sink = new RecordingSink(false);
        mEntry.dispatcher().admit(mEntry.spec("r1", HOLDS, RequestClass.NON_IDEMPOTENT, ""), sink);
        assertThat(
                sink.failure().map(Failure::kind),
                is(Optional.of(ErrorKind.IDEMPOTENCY_KEY_REQUIRED)));
    }

    @Test
    void shouldRefuseNewRequestsAndFinishOldOnesWhenItDrains() {
        start(1);
        RecordingSink old = new RecordingSink(false);
        mEntry.dispatcher().admit(mEntry.spec("r1", QUERIES, RequestClass.INTERACTIVE, ""), old);
        mEntry.dispatcher().drain();
        RecordingSink late = new RecordingSink(false);
        mEntry.dispatcher().admit(mEntry.spec("r2", QUERIES, RequestClass.INTERACTIVE, ""), late);
        settle(50);
        assertThat(late.failure().map(Failure::kind), is(Optional.of(ErrorKind.SHUTTING_DOWN)));
        assertThat(old.failure(), is(Optional.empty()));
        assertThat(old.text(), is(FakeSideProcesses.expected("r1")));
        assertThat(mEntry.dispatcher().isIdle(), is(true));
    }
}
