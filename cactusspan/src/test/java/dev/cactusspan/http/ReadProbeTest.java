package dev.cactusspan.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.nullValue;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Measures an I/O thread together with an executor that a test holds up. */
@Timeout(value = 20, unit = TimeUnit.SECONDS)
final class ReadProbeTest {
    private final AtomicLong mNowMs = new AtomicLong(1_000);
    private final BlockingQueue<Runnable> mTasks = new LinkedBlockingQueue<>();
    private final BlockingQueue<Long> mReadThrough = new LinkedBlockingQueue<>();

    @Test
    void shouldNotReportBeforeTheThreadHasRunWhatWasQueued() throws Exception {
        try (HttpClient http = HttpClient.create();
                ReadProbe probe = http.newProbe(mTasks::add, mNowMs::get, mReadThrough::add)) {
            probe.tick();
            Runnable task = mTasks.take();
            mNowMs.addAndGet(5_000);
            probe.tick();
            assertThat(mReadThrough.poll(), nullValue());
            assertThat(probe.pendingMs(), is(5_000L));
            task.run();
            assertThat(mReadThrough.take(), is(1_000L));
            assertThat(probe.pendingMs(), is(0L));
        }
    }

    @Test
    void shouldMeasureAgainAtIntervals() throws Exception {
        try (HttpClient http = HttpClient.create();
                ReadProbe probe = http.newProbe(mTasks::add, mNowMs::get, mReadThrough::add)) {
            for (int i = 0; i < 20; i++) {
                probe.tick();
                mTasks.take().run();
                assertThat(mReadThrough.take(), greaterThanOrEqualTo(1_000L + 150L * i));
                probe.tick();
                mNowMs.addAndGet(150);
            }
        }
    }
}
