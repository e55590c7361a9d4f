package dev.cactusspan.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import dev.cactusspan.fleet.FakeTargets;
import dev.cactusspan.id.ItemId;
import dev.cactusspan.region.Residency;
import dev.cactusspan.result.ErrorKind;
import dev.cactusspan.result.Result;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Submissions, ends, planned and sudden stops, lost history and faults of the store. */
final class BatchLifeTest extends BatchFixture {
    private static final int GROUPS = 3;
    private static final int GROUP_SIZE = 4;
    private static final int ITEMS = GROUPS * GROUP_SIZE;
    private static final int ACTIONS = 14;
    private static final int MAX_PAUSE_MS = 350;

    private final List<List<Result<Boolean>>> mOutcomes = new ArrayList<>();
    private final List<BatchNode> mStopping = new ArrayList<>();
    private List<ItemResult> mSeen = List.of();
    private int mStarted;
    private boolean mIsEnded;

    @Property(seed = "9001", tries = 100)
    void shouldKeepWhatTheStoreHolds(@ForAll long seed) {
        new BatchLifeTest().play(new Random(seed), false);
    }

    @Property(seed = "9002", tries = 100)
    void shouldKeepWhatTheStoreHoldsWithEnds(@ForAll long seed) {
        new BatchLifeTest().play(new Random(seed), true);
    }

    private void play(Random random, boolean withEnd) {
        double faultRate = random.nextDouble() * 0.4;
        for (int i = 0; i < 3; i++) {
            start(random, faultRate);
        }
        run(100);
        for (int i = 0; i < ACTIONS; i++) {
            act(random, faultRate, withEnd);
            runRandomly(random, random.nextInt(MAX_PAUSE_MS));
        }
        settle(random);
        if (!mIsEnded) {
            BatchNode node = anyNode(random);
            List<Result<Boolean>> last = submit(node, GROUPS, GROUP_SIZE);
            for (int i = 0; i < 800; i++) {
                runWithResponses(TICK_MS);
                checkList();
            }
            assertThat(last, is(List.of(Result.of(true))));
            assertThat(mSeen, hasSize(ITEMS));
        }
    }

    private void settle(Random random) {
        mNodes.forEach(n -> n.path().setFaults(random, 0));
        mStopping.forEach(BatchNode::kill);
        mNodes.forEach(n -> n.path().setCut(false));
        for (int i = 0; i < 500; i++) {
            runWithResponses(TICK_MS);
            checkList();
        }
        boolean isStored = mStore.items().containsKey(BatchStore.OWNER_PREFIX + ID.value());
        for (List<Result<Boolean>> outcome : mOutcomes) {
            assertThat(outcome.size() <= 1, is(true));
        }
        boolean isAnyOk = mOutcomes.stream().anyMatch(o -> !o.isEmpty() && o.get(0).isOk());
        assertThat(isAnyOk && !isStored, is(false));
        boolean areAllRefused =
                !mOutcomes.isEmpty()
                        && mOutcomes.stream().allMatch(o -> !o.isEmpty() && isRefusal(o.get(0)));
        assertThat(areAllRefused && isStored, is(false));
    }

    private static boolean isRefusal(Result<Boolean> outcome) {
        return outcome.fold(
                f ->
                        f.kind() == ErrorKind.PLATFORM_UNAVAILABLE
                                || f.kind() == ErrorKind.SHUTTING_DOWN,
                ok -> false);
    }

    private void start(Random random, double faultRate) {
        node("n" + ++mStarted).path().setFaults(random, faultRate);
    }

    private void act(Random random, double faultRate, boolean withEnd) {
        switch (random.nextInt(9)) {
            case 0, 1, 2, 3 -> mOutcomes.add(submit(anyNode(random), GROUPS, GROUP_SIZE));
            case 4 -> {
                anyNode(random).kill();
                start(random, faultRate);
            }
            case 5 -> {
                BatchNode node = anyNode(random);
                start(random, faultRate);
                if (mStopping.contains(node)) {
                    node.manager().drain();
                } else {
                    node.manager().stopAccepting();
                    mStopping.add(node);
                }
            }
            case 6 -> mStore.dropHistory();
            case 7 -> anyNode(random).path().setCut(random.nextBoolean());
            default -> {
                if (withEnd) {
                    anyNode(random).manager().end(ID, r -> mIsEnded |= r.isOk());
                    mIsEnded = true;
                }
            }
        }
        mThread.runAll();
    }

    private BatchNode anyNode(Random random) {
        List<BatchNode> alive = mNodes.stream().filter(BatchNode::isAlive).toList();
        return alive.get(random.nextInt(alive.size()));
    }

    private void runRandomly(Random random, long ms) {
        for (long i = 0; i < ms; i += TICK_MS) {
            run(TICK_MS);
            checkList();
            if (random.nextInt(5) == 0) {
                mNodes.stream()
                        .filter(BatchNode::isAlive)
                        .forEach(n -> n.respondToAll(sent -> respond(sent, random)));
            }
        }
    }

    /** Each position keeps its result, and no item stands at two. */
    private void checkList() {
        Result<StoredBatch> now = new BatchStore(mStore).load(ID, Residency.ANYWHERE).join();
        if (!now.isOk()) {
            return;
        }
        List<ItemResult> results = now.get().results();
        assertThat(results.subList(0, mSeen.size()), is(mSeen));
        Set<ItemId> ids = new HashSet<>();
        results.forEach(r -> ids.add(r.id()));
        assertThat(ids, hasSize(results.size()));
        mSeen = results;
    }

    private static void respond(FakeTargets.Sent sent, Random random) {
        if (random.nextInt(4) == 0) {
            sent.failBeforeSend();
        } else {
            BatchNode.succeed(sent);
        }
    }
}
