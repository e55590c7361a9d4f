package dev.cactusspan.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.arrayWithSize;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

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
import org.junit.jupiter.api.Test;

/** Tests batches under lost responses, dead owners, failing targets and store outages. */
final class BatchManagerTest extends BatchFixture {
    @Test
    void shouldListAllItemsOnceWithTextAndScore() {
        BatchNode node = node("n1");
        run(100);
        List<Result<Boolean>> outcomes = submit(node, 3, 2);
        assertThat(outcomes.get(0).isOk(), is(true));
        runWithResponses(2_000);
        List<ItemResult> results = stored();
        assertThat(results, hasSize(6));
        assertThat(results.stream().map(ItemResult::text).toList(), everyItem(is("t1\nt2\nt3")));
        assertThat(results.stream().map(ItemResult::score).toList(), everyItem(not(is(""))));
    }

    /**
     * Groups that became complete every 20 ms were appended one by one, each at the price of a
     * write.
     */
    @Test
    void shouldAppendGroupsThatBecomeCompleteInQuickSuccessionTogether() {
        BatchNode node = node("n1");
        run(100);
        submit(node, 16, 1);
        int responded = 0;
        for (int i = 0; i < 100; i++) {
            run(TICK_MS);
            if (responded < node.port().sent().size()) {
                BatchNode.succeed(node.port().sent().get(responded++));
            }
        }
        assertThat(stored(), hasSize(16));
        long appends = mStore.items().keySet().stream().filter(k -> k.contains("/result/")).count();
        assertThat(appends <= 4, is(true));
    }

    @Test
    void shouldRejectBatchWhileStoreIsUnavailable() {
        BatchNode node = node("n1");
        run(100);
        mStore.setDown(true);
        List<Result<Boolean>> outcomes = submit(node, 1, 1);
        assertThat(
                outcomes.get(0).<Object>fold(f -> f.kind(), v -> v),
                is(ErrorKind.PLATFORM_UNAVAILABLE));
        mStore.setDown(false);
        runWithResponses(1_000);
        assertThat(node.port().sent(), is(empty()));
    }

    @Test
    void shouldResolveOutcomeOfWriteWithLostResponse() {
        BatchNode node = node("n1");
        run(100);
        mStore.setFaults(new Random(1), 1.0, 0);
        List<Result<Boolean>> outcomes = submit(node, 1, 2);
        assertThat(outcomes, is(empty()));
        mStore.setFaults(new Random(1), 0, 0);
        runWithResponses(1_000);
        assertThat(outcomes, hasSize(1));
        assertThat(outcomes.get(0).isOk(), is(true));
        assertThat(stored(), hasSize(2));
    }

    /**
     * Results whose append took effect although its response was lost may have been read from the
     * store by another process; the owner must not list fewer, also after the end of the batch.
     */
    @Test
    void shouldNotListFewerResultsThanTheStoreAfterALostResponse() {
        BatchNode node = node("n1");
        BatchNode other = node("n2");
        run(100);
        submit(node, 1, 2);
        run(50);
        node.respondToAll(BatchNode::succeed);
        mStore.setFaults(new Random(1), 1.0, 0);
        node.respondToAll(BatchNode::succeed);
        run(TICK_MS * 2);
        assertThat(stored(), hasSize(2));
        mStore.setFaults(new Random(1), 0, 0);
        other.manager().end(ID, ended -> {});
        mThread.runAll();
        for (int i = 0; i < 100; i++) {
            List<ResultsView> views = new ArrayList<>();
            boolean isOwner = node.manager().readResults(ID, 0, 0, views::add);
            mThread.runAll();
            assertThat(isOwner && views.get(0).results().size() < 2, is(false));
            run(TICK_MS);
        }
    }

    @Test
    void shouldResumeAfterLastEventOnAnotherTarget() {
        BatchNode node = startWithOneRun();
        FakeTargets.Sent first = node.port().last();
        first.startStream(BatchNode.MIN_VERSION);
        first.events(2);
        first.disconnect();
        run(100);
        FakeTargets.Sent second = node.port().last();
        assertThat(second.request().resumeAfter().getAsLong(), is(2L));
        second.startStream(BatchNode.MIN_VERSION);
        second.events(3);
        second.end();
        run(50);
        runWithResponses(1_000);
        assertThat(stored().get(0).text(), is("t1\nt2\nt3"));
    }

    @Test
    void shouldMoveStalledRunToAnotherTarget() {
        BatchNode node = startWithOneRun();
        FakeTargets.Sent first = node.port().last();
        first.startStream(BatchNode.MIN_VERSION);
        first.events(1);
        run(2_000);
        assertThat(first.isCancelled(), is(true));
        assertThat(node.port().last().request().resumeAfter().getAsLong(), is(1L));
    }

    @Test
    void shouldRejectNonConsecutiveEvents() {
        BatchNode node = startWithOneRun();
        FakeTargets.Sent first = node.port().last();
        first.startStream(BatchNode.MIN_VERSION);
        first.events(1);
        first.event(3, "t3");
        assertThat(first.isCancelled(), is(true));
        runWithResponses(2_000);
        assertThat(stored().get(0).text(), is("t1\nt2\nt3"));
    }

    @Test
    void shouldRestartTextWhenWeightVersionDecreases() {
        BatchNode node = startWithOneRun();
        FakeTargets.Sent first = node.port().last();
        first.startStream(3);
        first.event(1, "t1");
        first.event(2, "t2", 1);
        assertThat(first.isCancelled(), is(true));
        run(100);
        assertThat(node.port().last().request().resumeAfter().isPresent(), is(false));
    }

    @Test
    void shouldRestartTextOfSingleVersionRouteWhenWeightsChange() {
        BatchNode node = node("n1");
        run(100);
        node.manager().submit(BatchNode.singleVersionBatch(ID.value(), mThread.nowMs()), r -> {});
        mThread.runAll();
        run(50);
        FakeTargets.Sent first = node.port().last();
        first.startStream(2);
        first.event(1, "t1");
        first.event(2, "t2", 3);
        assertThat(first.isCancelled(), is(true));
        run(100);
        assertThat(node.port().last().request().resumeAfter().isPresent(), is(false));
        node.port().last().startStream(3);
        node.port().last().events(3);
        node.port().last().end();
        runWithResponses(1_000);
        assertThat(stored().get(0).versions(), hasSize(1));
    }

    @Test
    void shouldAbandonItemAfterMaxFailedAttempts() {
        BatchNode node = node("n1");
        run(100);
        submit(node, 1, 1);
        for (int i = 0; i < 200; i++) {
            run(TICK_MS);
            node.respondToAll(s -> s.respond(500, "x", false));
        }
        assertThat(stored().get(0).isCompleted(), is(false));
        assertThat(node.port().sent(), hasSize(3));
    }

    /** Guards against an item that is given up for the late copy of another item's failure. */
    @Test
    void shouldNotCountTheFailureOfAnotherItem() {
        BatchNode node = startWithOneRun();
        for (int i = 0; i < 10; i++) {
            node.respondToAll(s -> s.respondForOtherRequest(500));
            run(1_000);
        }
        assertThat(stored(), is(empty()));
        runWithResponses(2_000);
        assertThat(stored().get(0).isCompleted(), is(true));
    }

    /**
     * One target is full and the other fails at once, so it always has free slots: the items must
     * not be given up there while the full target still works.
     */
    @Test
    void shouldNotAbandonItemsToTheOnlyTargetWithFreeSlots() {
        BatchNode node = node("n1");
        run(100);
        submit(node, 4, 2);
        for (int i = 0; i < 30; i++) {
            run(TICK_MS);
            node.respondToAll(
                    s -> {
                        if (s.target().id().value().equals("lm-2")) {
                            s.respond(500, "x", false);
                        }
                    });
        }
        List<FakeTargets.Sent> stillRunning =
                node.port().sent().stream()
                        .filter(s -> s.target().id().value().equals("lm-1"))
                        .toList();
        stillRunning.forEach(BatchNode::succeed);
        runWithResponses(2_000);
        assertThat(stored(), hasSize(8));
        assertThat(stored().stream().map(ItemResult::isCompleted).toList(), everyItem(is(true)));
    }

    @Test
    void shouldNotAbandonScoresToTheOnlyScorerWithFreeSlots() {
        BatchNode node = node("n1");
        node.addScorer("app-2");
        run(100);
        submit(node, 6, 4);
        for (int i = 0; i < 60; i++) {
            run(TICK_MS);
            node.respondToAll(
                    s -> {
                        String target = s.target().id().value();
                        if (target.equals("app-2")) {
                            s.respond(500, "x", false);
                        } else if (!target.equals("app-1")) {
                            BatchNode.succeed(s);
                        }
                    });
        }
        node.port().sent().stream()
                .filter(s -> s.target().id().value().equals("app-1") && !s.isCancelled())
                .toList()
                .forEach(BatchNode::succeed);
        runWithResponses(2_000);
        assertThat(stored(), hasSize(24));
        assertThat(stored().stream().map(ItemResult::isCompleted).toList(), everyItem(is(true)));
    }

    @Test
    void shouldStopRunsWhenTheBatchEnds() {
        BatchNode node = node("n1");
        BatchNode other = node("n2");
        run(100);
        submit(node, 2, 2);
        run(300);
        List<Result<Boolean>> ended = new ArrayList<>();
        other.manager().end(ID, ended::add);
        mThread.runAll();
        assertThat(ended.get(0).isOk(), is(true));
        run(500);
        int sent = node.port().sent().size();
        assertThat(node.port().sent().stream().allMatch(FakeTargets.Sent::isCancelled), is(true));
        run(1_000);
        assertThat(node.port().sent(), hasSize(sent));
    }

    @Test
    void shouldTakeOverFromADeadOwner() {
        BatchNode node = node("n1");
        BatchNode other = node("n2");
        run(100);
        submit(node, 2, 2);
        run(300);
        node.kill();
        runWithResponses(3_000);
        assertThat(stored(), hasSize(4));
        assertThat(
                other.manager().findOwnership(ID).orElseThrow().ownership().owner(),
                is(other.owner()));
    }

    private static void sendEvents(FakeTargets.Sent run, int from, int to) {
        for (int id = from; id <= to; id++) {
            run.event(id, "t" + id);
        }
    }

    private BatchNode startWithOneText(int events) {
        BatchNode node = node("n1");
        node("n2");
        run(100);
        submit(node, 1, 1);
        run(50);
        node.port().last().startStream(BatchNode.MIN_VERSION);
        sendEvents(node.port().last(), 1, events);
        run(100);
        return node;
    }

    @Test
    void shouldResumeTextSavedByDeadOwner() {
        BatchNode node = startWithOneText(20);
        node.kill();
        run(1_000);
        FakeTargets.Sent next = mNodes.get(1).port().last();
        assertThat(next.request().resumeAfter().orElse(0), is(20L));
        next.startStream(BatchNode.MIN_VERSION);
        sendEvents(next, 21, 22);
        next.end();
        runWithResponses(1_000);
        assertThat(stored().get(0).text().split("\n"), arrayWithSize(22));
        assertThat(stored().get(0).versions(), hasSize(1));
    }

    @Test
    void shouldSaveProgressOnDrain() {
        BatchNode node = startWithOneText(20);
        sendEvents(node.port().last(), 21, 25);
        node.manager().drain();
        mThread.runAll();
        mStore.step();
        mThread.runAll();
        node.kill();
        run(1_000);
        assertThat(mNodes.get(1).port().last().request().resumeAfter().orElse(0), is(25L));
    }

    @Test
    void shouldRegenerateTextTooShortToBeSaved() {
        BatchNode node = startWithOneText(3);
        node.kill();
        run(1_000);
        assertThat(mNodes.get(1).port().last().request().resumeAfter().isPresent(), is(false));
    }

    @Test
    void shouldNotAppendAsAFormerOwner() {
        BatchNode node = node("n1");
        node("n2");
        run(100);
        submit(node, 1, 2);
        run(300);
        node.kill();
        runWithResponses(3_000);
        List<ItemResult> before = stored();
        node.respondToAll(BatchNode::succeed);
        node.manager().tick(Long.MIN_VALUE / 2, true);
        mThread.runAll();
        assertThat(stored(), is(before));
    }

    /**
     * No item is abandoned before its retention time, whatever the time of day does at the owner
     * and at the process that takes the batch over.
     */
    @Property(seed = "67", tries = 60)
    void shouldNotAbandonItemsEarlyWhenClocksJump(@ForAll long seed) {
        new BatchManagerTest().playClockJumps(new Random(seed));
    }

    private void playClockJumps(Random random) {
        long[] offsetMs = {0, 0};
        BatchNode first = new BatchNode("n1", mStore, mThread, () -> mThread.nowMs() + offsetMs[0]);
        BatchNode second =
                new BatchNode("n2", mStore, mThread, () -> mThread.nowMs() + offsetMs[1]);
        mNodes.addAll(List.of(first, second));
        run(100);
        offsetMs[0] = random.nextLong(10_000) - 5_000;
        long acceptedMs = mThread.nowMs();
        first.manager()
                .submit(
                        BatchNode.batch(ID.value(), 1, 2, acceptedMs + offsetMs[0]),
                        accepted -> {});
        mThread.runAll();
        boolean isTakenOver = random.nextBoolean();
        long retentionMs = BatchNode.batch(ID.value(), 1, 2, 0).retentionMs();
        for (int part = 0; part < 10; part++) {
            offsetMs[0] = random.nextLong(10_000) - 5_000;
            offsetMs[1] = random.nextLong(10_000) - 5_000;
            mThread.advance(retentionMs / 10 - 100);
            run(50);
            if (part == 4 && isTakenOver) {
                first.kill();
                run(50);
            }
        }
        assertThat(mThread.nowMs() - acceptedMs < retentionMs, is(true));
        assertThat(stored(), is(empty()));
        mThread.advance(30_000);
        run(2_000);
        assertThat(stored(), hasSize(2));
    }

    /** Each position keeps its result, and no item is listed at two positions. */
    @Property(seed = "41", tries = 60)
    void shouldKeepPositionsUnderLostResponsesAndDeadOwners(@ForAll long seed) {
        BatchManagerTest fresh = new BatchManagerTest();
        fresh.play(new Random(seed));
    }

    private void play(Random random) {
        BatchNode first = node("n1");
        node("n2");
        node("n3");
        run(100);
        List<Result<Boolean>> outcomes = submit(first, 4, 3);
        mStore.setFaults(random, 0.15, 0.15);
        List<ItemResult> seen = List.of();
        for (int i = 0; i < 400; i++) {
            run(TICK_MS);
            if (i == 30 + random.nextInt(5) && random.nextBoolean()) {
                first.kill();
            }
            for (BatchNode node : mNodes) {
                if (node.isAlive()) {
                    node.respondToAll(sent -> respondRandomly(sent, random));
                }
            }
            Result<StoredBatch> now = new BatchStore(mStore).load(ID, Residency.ANYWHERE).join();
            if (now.isOk()) {
                List<ItemResult> results = now.get().results();
                assertThat(results.subList(0, seen.size()), is(seen));
                seen = results;
            }
        }
        mStore.setFaults(random, 0, 0);
        runWithResponses(8_000);
        assertThat(outcomes.get(0).isOk(), is(true));
        List<ItemResult> results = stored();
        Set<ItemId> ids = new HashSet<>();
        results.forEach(r -> ids.add(r.id()));
        assertThat(ids, hasSize(12));
        assertThat(results, hasSize(12));
    }

    private static void respondRandomly(FakeTargets.Sent sent, Random random) {
        switch (random.nextInt(5)) {
            case 0 -> sent.failBeforeSend();
            case 1 -> {
                sent.startStream(BatchNode.MIN_VERSION);
                sent.disconnect();
            }
            case 2 -> sent.respond(503, "", true);
            default -> BatchNode.succeed(sent);
        }
    }
}
