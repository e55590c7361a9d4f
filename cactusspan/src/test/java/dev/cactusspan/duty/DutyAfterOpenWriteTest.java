package dev.cactusspan.duty;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import dev.cactusspan.store.FakeKeyStore;
import dev.cactusspan.store.ManualThread;
import dev.cactusspan.store.UnreliableKeyStore;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Tests that a duty is performed after writes whose outcome was open. */
final class DutyAfterOpenWriteTest {
    private static final long TICK_MS = 20;

    /** Time in which a duty finds its holder once all is well, in milliseconds. */
    private static final long SETTLE_MS = 12_000;

    private final ManualThread mThread = new ManualThread();
    private final FakeKeyStore mStore = new FakeKeyStore(mThread);
    private final List<UnreliableKeyStore> mPaths = new ArrayList<>();
    private final List<DutyNode> mNodes = new ArrayList<>();
    private int mBoots = 1;

    private void addNode(long handoverDelayMs, long bootWaitMs) {
        mPaths.add(new UnreliableKeyStore(mStore, mThread));
        mNodes.add(newNode(mNodes.size(), handoverDelayMs, bootWaitMs));
    }

    private DutyNode newNode(int index, long handoverDelayMs, long bootWaitMs) {
        return new DutyNode(
                "n" + (index + 1),
                mBoots++,
                handoverDelayMs,
                bootWaitMs,
                mPaths.get(index),
                mThread,
                new ArrayList<>());
    }

    private void step() {
        mThread.advance(TICK_MS);
        mPaths.forEach(UnreliableKeyStore::step);
        mStore.step();
        mThread.runAll();
        mNodes.forEach(DutyNode::tick);
    }

    private void run(long ms) {
        for (long i = 0; i < ms; i += TICK_MS) {
            step();
        }
    }

    /**
     * Guards against a duty that nobody performs: its key names a process that lost the reply to
     * its write, and then that to its read.
     */
    @Test
    void shouldActUnderItsKeyAfterALostReplyAndAFailedRead() {
        addNode(DutyNode.TURN_MS, 0);
        mPaths.get(0).loseReplies(DutyHolder.PREFIX, 2);
        mPaths.get(0).failReads(2);
        run(4_000);
        assertThat(mNodes.get(0).weightFencing().isPresent(), is(true));
        assertThat(mNodes.get(0).usageFencing().isPresent(), is(true));
    }

    /** Once all is well, each duty has one holder, which acts, whatever happened before. */
    @Property(seed = "52", tries = 200)
    void shouldNeverLeaveADutyHeldAndIdle(@ForAll long seed) {
        new DutyAfterOpenWriteTest().playUntilSettled(new Random(seed));
    }

    private void playUntilSettled(Random random) {
        int count = 1 + random.nextInt(3);
        for (int i = 0; i < count; i++) {
            addNode(DutyNode.TURN_MS, 0);
            mPaths.get(i).setFaults(random, 0.25);
        }
        int steps = random.nextInt(800);
        for (int i = 0; i < steps; i++) {
            step();
            injectFault(random, 250, DutyNode.TURN_MS, 0);
        }
        mStore.setDown(false);
        mNodes.forEach(n -> n.pause(false));
        for (UnreliableKeyStore path : mPaths) {
            path.setCut(false);
            path.setFaults(random, 0);
        }
        run(SETTLE_MS);
        assertThat(mNodes.stream().filter(n -> n.weightFencing().isPresent()).toList(), hasSize(1));
        assertThat(mNodes.stream().filter(n -> n.usageFencing().isPresent()).toList(), hasSize(1));
    }

    /**
     * Where no fencing number is checked, a process never acts again within the minimum time after
     * another one did, over cuts, processes that stand still or start again, and lost and late
     * replies.
     */
    @Property(seed = "53", tries = 150)
    void shouldNotTakeTurnsWithinTheMinimumTime(@ForAll long seed) {
        Random random = new Random(seed);
        int turns =
                new DutyAfterOpenWriteTest().countTurns(random, DutyNode.TURN_MS, DutyNode.TURN_MS);
        assertThat(turns, is(0));
    }

    @Test
    void shouldTakeTurnsWithoutTheMargin() {
        int turns = 0;
        for (int seed = 0; seed < 40; seed++) {
            turns += new DutyAfterOpenWriteTest().countTurns(new Random(seed), 0, 0);
        }
        assertThat(turns, greaterThan(0));
    }

    /** Counts how often a process acts within the minimum time although another acted since. */
    private int countTurns(Random random, long handoverDelayMs, long bootWaitMs) {
        for (int i = 0; i < 3; i++) {
            addNode(handoverDelayMs, bootWaitMs);
            mPaths.get(i).setFaults(random, 0.2);
        }
        Map<Integer, Long> lastActMs = new HashMap<>();
        int last = -1;
        int turns = 0;
        for (int i = 0; i < 1_500; i++) {
            step();
            for (int n = 0; n < mNodes.size(); n++) {
                if (mNodes.get(n).weightFencing().isEmpty()) {
                    continue;
                }
                long sinceMs = mThread.nowMs() - lastActMs.getOrDefault(n, Long.MIN_VALUE / 2);
                turns += last != n && sinceMs < DutyNode.TURN_MS ? 1 : 0;
                mNodes.get(n).weightDuty().recordAction();
                lastActMs.put(n, mThread.nowMs());
                last = n;
            }
            injectFault(random, 100, handoverDelayMs, bootWaitMs);
        }
        return turns;
    }

    /** Cuts a process off, stops the store, lets a process stand still, or starts it again. */
    private void injectFault(Random random, int oneIn, long handoverDelayMs, long bootWaitMs) {
        int index = random.nextInt(mNodes.size());
        switch (random.nextInt(oneIn)) {
            case 0 -> mPaths.get(index).setCut(true);
            case 1, 2 -> mPaths.get(index).setCut(false);
            case 3 -> mStore.setDown(true);
            case 4, 5 -> mStore.setDown(false);
            case 6 -> mNodes.get(index).pause(true);
            case 7, 8 -> mNodes.get(index).pause(false);
            case 9 -> {
                mNodes.get(index).pause(true);
                mNodes.set(index, newNode(index, handoverDelayMs, bootWaitMs));
            }
            case 10 -> {
                mNodes.get(index).session().close();
                mNodes.get(index).pause(true);
                mNodes.set(index, newNode(index, handoverDelayMs, bootWaitMs));
            }
            default -> {
                // Nothing happens.
            }
        }
    }
}
