package dev.cactusspan.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import dev.cactusspan.fleet.FakeTargets;
import org.junit.jupiter.api.Test;

/** Items reached a target for seconds after it had said in a response that it leaves. */
final class ItemsAtLeavingTargetsTest extends BatchFixture {

    @Test
    void shouldSendNoItemToATargetThatSaidItLeaves() {
        BatchNode node = startWithOneRun();
        FakeTargets.Sent first = node.port().last();
        first.leaving().startStream(BatchNode.MIN_VERSION);
        first.events(2);
        first.disconnect();
        run(100);
        assertThat(node.port().last().target().id(), is(not(first.target().id())));
        run(1_000);
        assertThat(
                node.port().sent().stream()
                        .skip(1)
                        .filter(s -> s.target().id().equals(first.target().id()))
                        .toList(),
                is(empty()));
    }
}
