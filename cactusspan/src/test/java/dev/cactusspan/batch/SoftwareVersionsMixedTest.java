package dev.cactusspan.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.oneOf;

import dev.cactusspan.fleet.FakeTargets;
import dev.cactusspan.id.ItemId;
import dev.cactusspan.id.SoftwareVersion;
import dev.cactusspan.id.WeightVersion;
import dev.cactusspan.waiting.Need;
import java.util.List;
import java.util.Random;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.hamcrest.Matcher;
import org.junit.jupiter.api.Test;

/** Texts were joined from events of targets of two software versions. */
final class SoftwareVersionsMixedTest extends BatchFixture {
    private static final int EVENTS = 16;

    /** Starts a node whose one item has the given events, from a target of version v1. */
    private BatchNode startWithText(int events) {
        BatchNode node = startWithOneRun();
        FakeTargets.Sent first = node.port().last();
        first.startStream(BatchNode.MIN_VERSION);
        first.events(events);
        return node;
    }

    private static String otherOf(FakeTargets.Sent sent) {
        return sent.target().id().value().equals("lm-1") ? "lm-2" : "lm-1";
    }

    @Test
    void shouldContinueOnlyAtTheVersionThatBeganTheText() {
        BatchNode node = startWithText(50);
        FakeTargets.Sent first = node.port().last();
        node.putEngine(otherOf(first), "v2", 4);
        first.disconnect();
        run(600);
        FakeTargets.Sent second = node.port().last();
        assertThat(second.target().id(), is(first.target().id()));
        assertThat(second.request().resumeAfter().getAsLong(), is(50L));
    }

    @Test
    void shouldRestartAtAnyVersionWhenTheFirstOneHasLeft() {
        BatchNode node = startWithText(50);
        FakeTargets.Sent first = node.port().last();
        node.putEngine(otherOf(first), "v2", 4);
        node.removeTarget(first.target().id().value());
        first.disconnect();
        run(100);
        FakeTargets.Sent second = node.port().last();
        assertThat(second.target().software(), is(SoftwareVersion.of("v2")));
        assertThat(second.request().resumeAfter().isPresent(), is(false));
        second.startStream(BatchNode.MIN_VERSION);
        second.events(3);
        second.end();
        runWithResponses(1_000);
        assertThat(stored().get(0).text(), is("t1\nt2\nt3"));
    }

    @Test
    void shouldRestartWhenTheFirstVersionStaysFull() {
        BatchNode node = startWithText(10);
        FakeTargets.Sent first = node.port().last();
        node.putEngine(otherOf(first), "v2", 4);
        node.putEngine(first.target().id().value(), "v1", 0);
        first.disconnect();
        run(100);
        assertThat(node.port().sent(), hasSize(1));
        run(10 * ResumeRule.EVENT_MS);
        assertThat(node.port().last().target().software(), is(SoftwareVersion.of("v2")));
        assertThat(node.port().last().request().resumeAfter().isPresent(), is(false));
    }

    @Test
    void shouldContinueASavedTextOnlyAtItsVersion() {
        BatchNode node = startWithText(20);
        mNodes.add(new BatchNode("n2", mStore, mThread));
        run(2_000);
        mNodes.get(1).putEngine("lm-1", "v2", 4);
        mNodes.get(1).putEngine("lm-2", "v2", 4);
        node.kill();
        run(1_000);
        FakeTargets.Sent next = mNodes.get(1).port().last();
        assertThat(next.target().software(), is(SoftwareVersion.of("v2")));
        assertThat(next.request().resumeAfter().isPresent(), is(false));
    }

    @Test
    void shouldNotContinueATextSavedWithoutItsVersion() {
        ItemRun run =
                new ItemRun(BatchNode.batch("b", 1, 1, 0).items().get(0), Need.WANTED_GROUPS, 0);
        run.restore(
                new ItemProgress(
                        ItemId.of("b-0"),
                        List.of("t1"),
                        1,
                        List.of(WeightVersion.of(2)),
                        WeightVersion.of(2),
                        null));
        assertThat(run.eventCount(), is(0));
        assertThat(run.lastEvent().isPresent(), is(false));
    }

    /**
     * Replays targets of two versions that come and go beside interruptions and dead owners: each
     * listed text consists of consecutive events of one version.
     */
    @Property(seed = "2401", tries = 120)
    void shouldNeverJoinTwoVersions(@ForAll long seed) {
        new SoftwareVersionsMixedTest().replay(new Random(seed));
    }

    private void replay(Random random) {
        node("n1");
        node("n2");
        run(100);
        mNodes.get(0).manager().submit(BatchNode.batch("b", 2, 3, mThread.nowMs()), r -> {});
        for (int i = 0; i < 300; i++) {
            if (random.nextInt(4) == 0) {
                changeTarget(random);
            }
            run(TICK_MS);
            mNodes.stream()
                    .filter(BatchNode::isAlive)
                    .forEach(n -> n.respondToAll(sent -> respond(sent, random)));
            if (i == 150 && random.nextBoolean()) {
                mNodes.get(0).kill();
            }
        }
        mNodes.forEach(n -> n.putEngine("lm-1", "v1", 4));
        for (int i = 0; i < 600; i++) {
            run(TICK_MS);
            mNodes.get(1).respondToAll(SoftwareVersionsMixedTest::complete);
            mNodes.get(0).respondToAll(SoftwareVersionsMixedTest::complete);
        }
        List<ItemResult> results = stored();
        assertThat(results, hasSize(6));
        results.forEach(r -> assertThat(r.text(), isOneOfTheTexts()));
    }

    private void changeTarget(Random random) {
        int number = 1 + random.nextInt(4);
        String id = "lm-" + number;
        int slots = random.nextInt(4);
        boolean isRemoved = random.nextInt(4) == 0;
        for (BatchNode node : mNodes) {
            if (isRemoved) {
                node.removeTarget(id);
            } else {
                node.putEngine(id, number <= 2 ? "v1" : "v2", slots);
            }
        }
    }

    private static void respond(FakeTargets.Sent sent, Random random) {
        if (isScore(sent) || random.nextInt(3) == 0) {
            complete(sent);
            return;
        }
        int from = (int) sent.request().resumeAfter().orElse(0);
        sendEvents(sent, Math.min(EVENTS, from + random.nextInt(EVENTS)));
        sent.disconnect();
    }

    private static void complete(FakeTargets.Sent sent) {
        if (isScore(sent)) {
            sent.succeed();
            return;
        }
        sendEvents(sent, EVENTS);
        sent.end();
    }

    private static boolean isScore(FakeTargets.Sent sent) {
        return sent.request().id().startsWith("s-");
    }

    private static void sendEvents(FakeTargets.Sent sent, int upTo) {
        sent.startStream(BatchNode.MIN_VERSION);
        for (long id = sent.request().resumeAfter().orElse(0) + 1; id <= upTo; id++) {
            sent.event(id, sent.target().software() + ":" + id);
        }
    }

    private static Matcher<String> isOneOfTheTexts() {
        return is(oneOf(text("v1"), text("v2")));
    }

    private static String text(String software) {
        return IntStream.rangeClosed(1, EVENTS)
                .mapToObj(n -> software + ":" + n)
                .collect(Collectors.joining("\n"));
    }
}
