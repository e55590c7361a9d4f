package dev.cactusspan.standin;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import dev.cactusspan.standin.hosted.ChunkedRequestsTrial;
import dev.cactusspan.standin.hosted.ChunkedRequestsTrial.Kind;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Runs real processes with the deploy file's commands beside crowds that send in chunks. */
final class ChunkedRequestsTest {
    /** The smallest memory of a machine that runs an entry. */
    private static final long MAX_MEMORY_KB = 330 << 10;

    /** The descriptors of the smallest machine that runs an entry. */
    private static final long MAX_DESCRIPTORS = 4_100;

    @TempDir private Path mFolder;

    @Test
    void shouldOutliveATrailerWithoutEnd() {
        check(ChunkedRequestsTrial.toClientAddress(mFolder, Kind.ENDLESS_TRAILER));
    }

    @Test
    void shouldOutliveTrailersWithoutEnd() {
        check(ChunkedRequestsTrial.toClientAddress(mFolder, Kind.SHORT_TRAILERS));
    }

    @Test
    void shouldAnswerAfterChunksOfOneByte() {
        check(ChunkedRequestsTrial.toClientAddress(mFolder, Kind.SMALL_CHUNKS));
    }

    @Test
    void shouldAnswerBesideLongBodiesInChunksOfOneByte() {
        check(ChunkedRequestsTrial.besideClients(mFolder, Kind.LONG_SMALL_CHUNKS));
    }

    @Test
    void shouldAnswerAfterStoppedLargeChunks() {
        check(ChunkedRequestsTrial.toClientAddress(mFolder, Kind.LARGE_CHUNK));
    }

    @Test
    void shouldOutliveAllKindsAtAllAddresses() {
        check(ChunkedRequestsTrial.toAllAddresses(mFolder));
    }

    @Test
    void shouldOutliveAllKindsAtTheMetricsOfStorage() {
        check(ChunkedRequestsTrial.toStorage(mFolder));
    }

    @Test
    void shouldServeRequestsInsideTheLimitsInCalm() {
        assertThat(ChunkedRequestsTrial.inCalm(mFolder), is(List.of(200, 200, 200)));
    }

    private static void check(ChunkedRequestsTrial.Outcome outcome) {
        assertThat(outcome.toString(), outcome.isAlive(), is(true));
        assertThat(outcome.toString(), outcome.isAnswered(), is(true));
        assertThat(outcome.toString(), outcome.peakMemoryKb(), lessThan(MAX_MEMORY_KB));
        assertThat(outcome.toString(), outcome.peakDescriptors(), lessThan(MAX_DESCRIPTORS));
    }
}
