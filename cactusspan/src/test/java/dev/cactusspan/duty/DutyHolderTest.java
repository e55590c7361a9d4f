package dev.cactusspan.duty;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import dev.cactusspan.id.FencingNumber;
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

/** Tests duties under paused holders, expired leases and lost responses. */
final class DutyHolderTest {
    private static final long TICK_MS = 20;

    private final ManualThread mThread = new ManualThread();
    private final FakeKeyStore mStore = new FakeKeyStore(mThread);
    private final List<DutyNode> mNodes = DutyNode.nodes(3, mStore, mThread, new ArrayList<>());

    private void run(long ms) {
        for (long i = 0; i < ms; i += TICK_MS) {
            step();
        }
    }

    private int mBoots;

    private void step() {
        mThread.advance(TICK_MS);
        mStore.step();
        mThread.runAll();
        mNodes.forEach(DutyNode::tick);
    }

    private List<DutyNode> nodesThatMayAct() {
        return mNodes.stream().filter(n -> n.weightFencing().isPresent()).toList();
    }

    @Test
    void shouldHaveOneHolder() {
        run(6_000);
        assertThat(nodesThatMayAct().size(), is(1));
    }

    @Test
    void shouldPassToAnotherProcessUnderHigherFencingNumber() {
        run(6_000);
        DutyNode first = nodesThatMayAct().get(0);
        FencingNumber before = first.weightFencing().orElseThrow();
        first.pause(true);
        run(8_000);
        DutyNode second =
                mNodes.stream()
                        .filter(n -> n != first && n.weightFencing().isPresent())
                        .findFirst()
                        .orElseThrow();
        assertThat(second.weightFencing().orElseThrow().number(), greaterThan(before.number()));
        assertThat(first.weightFencing().isPresent(), is(false));
    }

    @Test
    void shouldAcquireNewFencingNumberAfterRefusal() {
        run(6_000);
        DutyNode holder = nodesThatMayAct().get(0);
        FencingNumber before = holder.weightFencing().orElseThrow();
        holder.weightDuty().onFenced();
        assertThat(holder.weightFencing().isPresent(), is(false));
        run(6_000);
        assertThat(
                nodesThatMayAct().get(0).weightFencing().orElseThrow().number(),
                greaterThan(before.number()));
    }

    /**
     * At most one holder may act at a time, each under its own fencing number, the numbers only
     * rise, and a former holder does not act again within the minimum time: whether or not the
     * receiver checks fencing numbers, with lost and refused calls, outages, processes that stand
     * still and processes that start again on the same VM.
     */
    @Property(seed = "51", tries = 80)
    void shouldNeverHaveTwoHoldersNorAlternateTooSoon(
            @ForAll long seed, @ForAll boolean isFencingChecked) {
        DutyHolderTest fresh = new DutyHolderTest();
        fresh.play(new Random(seed), isFencingChecked);
    }

    private void play(Random random, boolean isFencingChecked) {
        mNodes.clear();
        for (int i = 0; i < 3; i++) {
            mNodes.add(newNode(i, 1, isFencingChecked));
        }
        mStore.setFaults(random, 0.1, 0.1);
        Map<Long, Integer> ownerOfNumber = new HashMap<>();
        Map<Integer, Long> lastActMs = new HashMap<>();
        int last = -1;
        long highest = 0;
        for (int i = 0; i < 2_000; i++) {
            step();
            int acting = 0;
            for (int n = 0; n < mNodes.size(); n++) {
                DutyNode node = mNodes.get(n);
                if (node.weightFencing().isEmpty()) {
                    continue;
                }
                acting++;
                long number = node.weightFencing().get().number();
                assertThat(ownerOfNumber.merge(number, n, (a, b) -> a), is(n));
                assertThat(number, greaterThanOrEqualTo(highest));
                highest = number;
                if (last != n && lastActMs.containsKey(n)) {
                    assertThat(
                            mThread.nowMs() - lastActMs.get(n),
                            greaterThanOrEqualTo(DutyNode.TURN_MS));
                }
                node.weightDuty().recordAction();
                lastActMs.put(n, mThread.nowMs());
                last = n;
            }
            assertThat(acting, lessThanOrEqualTo(1));
            injectFault(random, isFencingChecked);
        }
    }

    private DutyNode newNode(int index, int boot, boolean isFencingChecked) {
        return new DutyNode(
                "n" + (index + 1), boot, isFencingChecked, mStore, mThread, new ArrayList<>());
    }

    /**
     * Pauses a process, starts one again, or makes the store unavailable for longer than a lease
     * lasts.
     */
    private void injectFault(Random random, boolean isFencingChecked) {
        if (random.nextInt(150) == 0) {
            mNodes.forEach(n -> n.pause(false));
            mNodes.get(random.nextInt(3)).pause(random.nextBoolean());
        }
        if (random.nextInt(200) == 0) {
            mStore.setDown(random.nextBoolean());
        }
        if (random.nextInt(120) == 0) {
            int index = random.nextInt(3);
            // Where fencing numbers are checked, a process that was told to stop is out of touch
            // and
            // may alternate.
            if (!isFencingChecked && random.nextBoolean()) {
                mNodes.get(index).session().close();
            }
            mNodes.get(index).pause(true);
            mNodes.set(index, newNode(index, 2 + mBoots++, isFencingChecked));
        }
    }
}
