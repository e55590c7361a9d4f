package dev.cactusspan.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import dev.cactusspan.fleet.FakeTargets;
import dev.cactusspan.id.ItemId;
import dev.cactusspan.result.Result;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Guards against items at two positions of a batch that a process begins more than once. */
final class ItemsListedTwiceTest extends BatchFixture {
    private static final int GROUPS = 3;
    private static final int GROUP_SIZE = 4;
    private static final int ITEMS = GROUPS * GROUP_SIZE;

    /** Longest time between two submissions of a client, in milliseconds. */
    private static final int MAX_RESUBMIT_MS = 300;

    /** Longest time that a reply of the store takes, in milliseconds. */
    private static final int MAX_REPLY_MS = 800;

    @Test
    void shouldListEachItemOnceWhenSubmittedAgainWhileTheFirstWriteIsOpen() {
        BatchNode node = nodeThatFollowsNoOwners();
        node.path().delayReplies(BatchStore.OWNER_PREFIX, 1, 400);
        List<Result<Boolean>> first = submit(node, GROUPS, GROUP_SIZE);
        run(50);
        List<Result<Boolean>> second = submit(node, GROUPS, GROUP_SIZE);
        runWithResponses(3_000);
        assertThat(first, is(List.of(Result.of(true))));
        assertThat(second, is(List.of(Result.of(true))));
        assertThat(stored(), hasSize(ITEMS));
        assertThat(node.port().sent(), hasSize(2 * ITEMS));
    }

    /** Returns a process that learns of its own write only by the reply. */
    private BatchNode nodeThatFollowsNoOwners() {
        List<BatchNode> nodes = List.of(node("n1"), node("n2"));
        run(100);
        return nodes.get(0).isSweeper() ? nodes.get(1) : nodes.get(0);
    }

    @Test
    void shouldRunNoItemAgainWhenSubmittedAgainAfterTheBatchHasLeftMemory() {
        BatchNode node = node("n1");
        run(100);
        submit(node, 1, GROUP_SIZE);
        runWithResponses(2_000);
        int sends = node.port().sent().size();
        mThread.advance(BatchNode.batch(ID.value(), 1, 1, 0).retentionMs() + 1_000);
        run(200);
        assertThat(node.manager().hasBegun(ID), is(false));
        List<Result<Boolean>> again = submit(node, 1, GROUP_SIZE);
        runWithResponses(2_000);
        assertThat(again, is(List.of(Result.of(true))));
        assertThat(stored(), hasSize(GROUP_SIZE));
        assertThat(node.port().sent(), hasSize(sends));
    }

    @Property(seed = "381", tries = 400)
    void shouldListEachItemOnceWhateverBeginsTheBatch(@ForAll long seed) {
        new ItemsListedTwiceTest().play(new Random(seed));
    }

    /** Submissions at any process, lost and late replies, writes carried out late, restarts. */
    private void play(Random random) {
        for (int i = 1; i <= 3; i++) {
            node("n" + i);
        }
        run(100);
        double faultRate = random.nextDouble() * 0.5;
        mNodes.forEach(n -> n.path().setFaults(random, faultRate));
        BatchNode first = anyNode(random);
        if (random.nextBoolean()) {
            int delayMs = random.nextInt(MAX_REPLY_MS);
            first.path().delayReplies(BatchStore.OWNER_PREFIX, 1, delayMs);
        }
        submit(first, GROUPS, GROUP_SIZE);
        runRandomly(random, random.nextInt(MAX_RESUBMIT_MS));
        submit(random.nextBoolean() ? first : anyNode(random), GROUPS, GROUP_SIZE);
        runRandomly(random, random.nextInt(MAX_REPLY_MS));
        if (random.nextBoolean()) {
            restartAll(random);
        }
        submit(anyNode(random), GROUPS, GROUP_SIZE);
        runRandomly(random, 2_000);
        mNodes.forEach(n -> n.path().setFaults(random, 0));
        List<Result<Boolean>> last = submit(anyNode(random), GROUPS, GROUP_SIZE);
        runWithResponses(6_000);
        assertThat(last, is(List.of(Result.of(true))));
        Set<ItemId> ids = new HashSet<>();
        stored().forEach(r -> ids.add(r.id()));
        assertThat(ids, hasSize(ITEMS));
        assertThat(stored(), hasSize(ITEMS));
    }

    private BatchNode anyNode(Random random) {
        List<BatchNode> alive = mNodes.stream().filter(BatchNode::isAlive).toList();
        return alive.get(random.nextInt(alive.size()));
    }

    private void restartAll(Random random) {
        int count = mNodes.size();
        mNodes.forEach(BatchNode::kill);
        for (int i = 1; i <= 3; i++) {
            node("n" + (count + i)).path().setFaults(random, random.nextDouble() * 0.5);
        }
        runRandomly(random, random.nextInt(MAX_RESUBMIT_MS));
    }

    private void runRandomly(Random random, long ms) {
        for (long i = 0; i < ms; i += TICK_MS) {
            run(TICK_MS);
            if (random.nextInt(5) == 0) {
                mNodes.stream()
                        .filter(BatchNode::isAlive)
                        .forEach(n -> n.respondToAll(sent -> respond(sent, random)));
            }
        }
    }

    private static void respond(FakeTargets.Sent sent, Random random) {
        if (random.nextInt(4) == 0) {
            sent.failBeforeSend();
        } else {
            BatchNode.succeed(sent);
        }
    }
}
