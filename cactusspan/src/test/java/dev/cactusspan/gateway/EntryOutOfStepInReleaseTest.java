package dev.cactusspan.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import dev.cactusspan.forward.OriginListing;
import dev.cactusspan.result.ErrorKind;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Guards against streams that began at the new version of a release, and go on at the old one
 * through an entry that is out of step.
 */
final class EntryOutOfStepInReleaseTest extends ResumedStreamsFixture {
    /**
     * A release at an entry that is out of step: it knows the old version only, and a stream of the
     * new one has no record, as the entry where it began could not reach the store and ended.
     */
    @Test
    void shouldNotTakeAStreamForTheOldVersionOnAnOldList() {
        mTargets.put("a", "v1");
        start(2);
        mTargets.put("b", "v2");
        run(100);
        mNodes.get(1).mIsOutOfStep = true;
        mTargets.remove("a");
        run(100);
        mStore.setDown(true);
        Client client = begin(0);
        run(1_000);
        assertThat(client.mSoftware, is(Set.of("v2")));
        mNodes.set(0, new Node());
        mStore.setDown(false);
        submit(mNodes.get(1), client);
        run(TICK_MS);
        assertThat(mNodes.get(1).mPort.sent(), is(empty()));
        assertThat(client.mFailure.orElseThrow().kind(), is(ErrorKind.STREAM_ORIGIN_UNKNOWN));
    }

    /** The list of origins that such an entry has is old as well. */
    @Test
    void shouldNotTakeAStreamForTheOriginOfAnOldListOfOrigins() {
        mTargets.put("a", "v1");
        start(2);
        mNodes.get(1).mIsOutOfStep = true;
        mTargets.remove("a");
        mTargets.put("b", "v2");
        run(OriginListing.RETENTION_MS + 1_000);
        Client client = begin(0);
        submit(mNodes.get(1), client);
        run(TICK_MS);
        mNodes.get(1).mPort.sent().forEach(s -> assertThat(s.target().id().value(), is("b")));
    }
}
