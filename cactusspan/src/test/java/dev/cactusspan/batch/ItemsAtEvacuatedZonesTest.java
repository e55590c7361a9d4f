package dev.cactusspan.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import dev.cactusspan.fleet.FakeTargets;
import dev.cactusspan.id.AvailabilityZoneId;
import java.util.List;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

/** Items of a batch while the zone of some targets is evacuated. */
final class ItemsAtEvacuatedZonesTest extends BatchFixture {
    private static final AvailabilityZoneId A = AvailabilityZoneId.of("a");

    private BatchNode startWithTargetsInB() {
        BatchNode node = startWithOneRun();
        node.putTarget(
                FakeTargets.inZone(
                        "b", FakeTargets.record("lm-b", "lm", 1, BatchNode.MIN_VERSION)));
        node.putTarget(FakeTargets.inZone("b", FakeTargets.record("app-b", "app", 1, 0)));
        return node;
    }

    private static List<String> zonesAfter(BatchNode node, int sends) {
        return node.port().sent().stream().skip(sends).map(s -> s.target().zone().value()).toList();
    }

    @Test
    void shouldFinishATextWhereItRuns() {
        BatchNode node = startWithTargetsInB();
        FakeTargets.Sent first = node.port().last();
        first.startStream(BatchNode.MIN_VERSION);
        first.events(2);
        node.evacuate(A);
        run(300);
        assertThat(first.isCancelled(), is(false));
        first.event(3, "t3");
        first.end();
        run(100);
        assertThat(zonesAfter(node, 1), is(List.of("b")));
        node.port().last().succeed();
        run(300);
        assertThat(stored(), hasSize(1));
    }

    @Test
    void shouldResumeAnInterruptedTextElsewhere() {
        BatchNode node = startWithTargetsInB();
        FakeTargets.Sent first = node.port().last();
        first.startStream(BatchNode.MIN_VERSION);
        first.events(2);
        node.evacuate(A);
        first.disconnect();
        run(100);
        assertThat(zonesAfter(node, 1), is(List.of("b")));
        assertThat(node.port().last().request().resumeAfter(), is(OptionalLong.of(2)));
    }

    @Test
    void shouldBeginATextAnewWhereOnlyAnotherSoftwareVersionIsLeft() {
        BatchNode node = startWithOneRun();
        node.putTarget(
                FakeTargets.inZone(
                        "b", FakeTargets.record("lm-b", "lm", "v2", 4, BatchNode.MIN_VERSION)));
        FakeTargets.Sent first = node.port().last();
        first.startStream(BatchNode.MIN_VERSION);
        first.events(2);
        node.evacuate(A);
        first.disconnect();
        run(200);
        assertThat(zonesAfter(node, 1), is(List.of("b")));
        assertThat(node.port().last().request().resumeAfter(), is(OptionalLong.empty()));
    }

    @Test
    void shouldSendNothingNewToAnEvacuatedZone() {
        BatchNode node = startWithTargetsInB();
        node.evacuate(A);
        node.manager().submit(BatchNode.batch("c", 2, 4, mThread.nowMs()), r -> {});
        runWithResponses(1_500);
        assertThat(zonesAfter(node, 1), everyItem(is("b")));
        assertThat(new BatchStore(mStore).loadResults(ID).join().get(), hasSize(1));
    }
}
