package dev.cactusspan.standin;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import dev.cactusspan.standin.hosted.SlowReadersTrial;
import dev.cactusspan.standin.hosted.SlowReadersTrial.Answers;
import java.io.IOException;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Runs a real entry with a heap of 64 MB beside 60 clients that read long answers slowly. */
final class AnswersReadSlowlyTest {
    /** The smallest memory of a machine that runs such a process. */
    private static final long MAX_MEMORY_KB = 330 << 10;

    /** Descriptors that a process may open on such a machine. */
    private static final long MAX_DESCRIPTORS = 4_100;

    /** Bytes of a connection in the system's buffers, which are beside the budget of callers. */
    private static final long MAX_UNSENT_BYTES = 256 << 10;

    /** Pace of a client that hardly reads, in bytes a second. */
    private static final int STOPPED = 50;

    /** Pace just above the one below which a connection is closed, in bytes a second. */
    private static final int JUST_FAST_ENOUGH = 2_000;

    @TempDir private Path mFolder;

    @Test
    void shouldOutliveWholeAnswersReadSlowly() throws IOException {
        check(Answers.WHOLE, STOPPED);
    }

    @Test
    void shouldOutliveAnswersToLongRequestsReadSlowly() throws IOException {
        check(Answers.TO_LONG_REQUESTS, STOPPED);
    }

    @Test
    void shouldOutliveChunkedAnswersReadSlowly() throws IOException {
        check(Answers.CHUNKED, STOPPED);
    }

    @Test
    void shouldOutliveEventsReadSlowly() throws IOException {
        check(Answers.EVENTS, STOPPED);
    }

    @Test
    void shouldOutliveResultsReadSlowly() throws IOException {
        check(Answers.RESULTS, STOPPED);
    }

    @Test
    void shouldOutliveItemBodiesReadSlowly() throws IOException {
        check(Answers.ITEM_BODIES, STOPPED);
    }

    @Test
    void shouldOutliveMetricsReadSlowly() throws IOException {
        check(Answers.METRICS, STOPPED);
    }

    @Test
    void shouldOutliveWholeAnswersReadJustFastEnough() throws IOException {
        check(Answers.WHOLE, JUST_FAST_ENOUGH);
    }

    @Test
    void shouldOutliveAnswersToLongRequestsReadJustFastEnough() throws IOException {
        check(Answers.TO_LONG_REQUESTS, JUST_FAST_ENOUGH);
    }

    @Test
    void shouldOutliveEventsToLongRequestsReadJustFastEnough() throws IOException {
        check(Answers.EVENTS_TO_LONG_REQUESTS, JUST_FAST_ENOUGH);
    }

    @Test
    void shouldOutliveResultsReadJustFastEnough() throws IOException {
        check(Answers.RESULTS, JUST_FAST_ENOUGH);
    }

    private void check(Answers answers, int bytesPerS) throws IOException {
        SlowReadersTrial.Outcome outcome = SlowReadersTrial.run(mFolder, answers, bytesPerS);
        assertThat(outcome.toString(), outcome.isServedInCalm(), is(true));
        assertThat(outcome.toString(), outcome.isAlive(), is(true));
        assertThat(outcome.toString(), outcome.peakMemoryKb(), lessThan(MAX_MEMORY_KB));
        assertThat(outcome.toString(), outcome.peakDescriptors(), lessThan(MAX_DESCRIPTORS));
        assertThat(outcome.toString(), outcome.peakUnsentBytes(), lessThan(MAX_UNSENT_BYTES));
        assertThat(outcome.toString(), outcome.isOrdinaryServed(), is(true));
        assertThat(outcome.toString(), outcome.isServedAfter(), is(true));
    }
}
