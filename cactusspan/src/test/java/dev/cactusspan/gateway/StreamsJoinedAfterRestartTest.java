package dev.cactusspan.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import dev.cactusspan.forward.ClientRequest;
import dev.cactusspan.id.RequestId;
import dev.cactusspan.id.TargetId;
import dev.cactusspan.result.ErrorKind;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/**
 * Streams that clients resumed after a restart of all processes went on at another software
 * version.
 */
final class StreamsJoinedAfterRestartTest extends ResumedStreamsFixture {
    @Test
    void shouldResumeAtTheVersionThatBeganTheStreamAfterARestartOfAllProcesses() {
        mTargets.put("a", "v1");
        start(2);
        mTargets.put("b", "v2");
        mTargets.remove("a");
        run(100);
        Client client = begin(0);
        mTargets.put("a", "v1");
        mTargets.put("c", "v1");
        start(2);
        for (int i = 0; i < 6; i++) {
            submit(mNodes.get(1), client);
            run(TICK_MS);
            assertThat(last(1).target().id(), is(TargetId.of("b")));
        }
    }

    @Test
    void shouldRejectAtOnceWhenTheVersionThatBeganTheStreamHasLeft() {
        mTargets.put("a", "v1");
        start(2);
        Client client = begin(0);
        mTargets.remove("a");
        mTargets.put("b", "v2");
        start(2);
        submit(mNodes.get(1), client);
        run(TICK_MS);
        assertThat(client.mFailure.orElseThrow().isNotRun(), is(true));
        assertThat(mNodes.get(1).mPort.sent(), is(empty()));
    }

    @Test
    void shouldRejectAResumptionWhileItsOriginCannotBeKnown() {
        mTargets.put("a", "v1");
        start(2);
        mTargets.put("b", "v2");
        run(100);
        Client client = begin(0);
        mStore.setDown(true);
        submit(mNodes.get(1), client);
        run(TICK_MS);
        assertThat(client.mFailure.orElseThrow().kind(), is(ErrorKind.PLATFORM_UNAVAILABLE));
        assertThat(client.mFailure.orElseThrow().isNotRun(), is(true));
    }

    @Test
    void shouldRejectAResumptionThatNamesNoFirstAttempt() {
        mTargets.put("a", "v1");
        start(1);
        Client client = begin(0);
        client.mFirst = Optional.empty();
        client.mCurrent = RequestId.of("r9");
        mNodes.get(0)
                .mResumer
                .submit(
                        new ClientRequest(
                                client.mCurrent,
                                "POST",
                                "/x",
                                "h",
                                Map.of(),
                                new byte[0],
                                Optional.empty(),
                                OptionalLong.of(20_000),
                                OptionalLong.of(3),
                                Optional.empty()),
                        ROUTE,
                        Optional.empty(),
                        client);
        assertThat(client.mFailure.orElseThrow().kind(), is(ErrorKind.STREAM_ORIGIN_UNKNOWN));
    }

    @Test
    void shouldBeginStreamsAtTheOldestVersionWhileTheStoreIsUnavailable() {
        mTargets.put("a", "v1");
        start(1);
        mTargets.put("b", "v2");
        run(100);
        mStore.setDown(true);
        run(1_000);
        for (int i = 0; i < 6; i++) {
            submit(mNodes.get(0), new Client());
            assertThat(last(0).target().id(), is(TargetId.of("a")));
        }
        mTargets.remove("a");
        run(TICK_MS);
        Client client = begin(0);
        assertThat(client.mSoftware, is(Set.of("v2")));
    }

    /** Other processes may still send to a target that said to this one that it leaves. */
    @Test
    void shouldNotBeginUnrecordedStreamsBesideTargetsOfTheOldestVersionThatLeave() {
        mTargets.put("a", "v1");
        start(1);
        mTargets.put("b", "v2");
        run(100);
        mStore.setDown(true);
        run(1_000);
        Node node = mNodes.get(0);
        node.mTable.recordLeaving(node.mTable.find(TargetId.of("a")).orElseThrow().record());
        Client client = new Client();
        submit(node, client);
        run(1_000);
        assertThat(node.mPort.sent(), is(empty()));
        assertThat(client.mFailure.orElseThrow().isNotRun(), is(true));
    }

    @Test
    void shouldNotCallTheStoreForStreamsOfTheOldestVersion() {
        mTargets.put("a", "v1");
        start(1);
        int calls = mStore.calls();
        for (int i = 0; i < 50; i++) {
            begin(0);
        }
        assertThat(mStore.calls() - calls <= 1, is(true));
        assertThat(
                mStore.items().keySet().stream().filter(k -> k.startsWith("cs/stream/")).toList(),
                hasSize(0));
    }

    /**
     * Replays upgrades there and back beside restarts of all processes and lost responses of the
     * store: no client has events of two versions, and most resumptions go on.
     */
    @Property(seed = "2402", tries = 150)
    void shouldNeverJoinTwoVersions(@ForAll long seed) {
        new StreamsJoinedAfterRestartTest().replay(new Random(seed));
    }

    private void replay(Random random) {
        mTargets.put("a1", "v1");
        mTargets.put("a2", "v1");
        start(3);
        mStore.setFaults(random, 0.05, 0.05);
        List<Client> clients = new ArrayList<>();
        for (int i = 0; i < 120; i++) {
            upgrade(random);
            if (random.nextInt(15) == 0) {
                clients.stream().filter(c -> !c.mIsWhole).forEach(c -> c.mIsBroken = true);
                start(3);
            }
            Client client = new Client();
            clients.add(client);
            submit(anyNode(random), client);
            clients.stream()
                    .filter(c -> c.mIsBroken && c.mFirst.isPresent() && !c.mIsWhole)
                    .limit(2)
                    .forEach(c -> submit(anyNode(random), c));
            run(TICK_MS);
            mNodes.forEach(n -> n.answer(random));
            run(2 * TICK_MS);
        }
        clients.forEach(c -> assertThat(c.mSoftware.size() <= 1, is(true)));
        int resumptions = clients.stream().mapToInt(c -> c.mResumptions).sum();
        int continued = clients.stream().mapToInt(c -> c.mContinued).sum();
        assertThat(continued * 2, is(greaterThanOrEqualTo(resumptions)));
    }

    /** Adds or removes targets, of which at least one per version stays. */
    private void upgrade(Random random) {
        switch (random.nextInt(12)) {
            case 0 -> mTargets.put("b1", "v2");
            case 1 -> mTargets.put("b2", "v2");
            case 2 -> mTargets.remove("a2");
            case 3 -> mTargets.put("a2", "v1");
            default -> {}
        }
    }

    private Node anyNode(Random random) {
        return mNodes.get(random.nextInt(mNodes.size()));
    }
}
