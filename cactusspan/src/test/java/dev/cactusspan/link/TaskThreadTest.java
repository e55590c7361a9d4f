package dev.cactusspan.link;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Runs control tasks and other tasks while one task holds the thread up. */
@Timeout(value = 20, unit = TimeUnit.SECONDS)
final class TaskThreadTest {
    private static final int CAPACITY_TASKS = 1_024;

    /** Longer than any test, so that only tasks wake the thread. */
    private static final long TICK_MS = 60_000;

    private final List<String> mRun = Collections.synchronizedList(new ArrayList<>());
    private final CountDownLatch mRelease = new CountDownLatch(1);
    private final CountDownLatch mDone = new CountDownLatch(1);

    private Runnable record(String name) {
        return () -> mRun.add(name);
    }

    /** Starts the thread with a task that lasts until {@link #mRelease} is released. */
    private TaskThread startBusy() throws InterruptedException {
        TaskThread thread = new TaskThread("test", CAPACITY_TASKS, TICK_MS);
        CountDownLatch started = new CountDownLatch(1);
        thread.start(() -> {});
        thread.execute(
                () -> {
                    started.countDown();
                    awaitQuietly(mRelease);
                });
        started.await();
        return thread;
    }

    private static void awaitQuietly(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Test
    void shouldRunControlTasksFirstAndInOrder() throws InterruptedException {
        try (TaskThread thread = startBusy()) {
            thread.execute(record("client-1"));
            thread.control().execute(record("control-1"));
            thread.execute(record("client-2"));
            thread.control().execute(record("control-2"));
            thread.execute(mDone::countDown);
            mRelease.countDown();
            mDone.await();
        }
        assertThat(mRun, contains("control-1", "control-2", "client-1", "client-2"));
    }

    @Test
    void shouldNotStarveOtherTasks() throws InterruptedException {
        int controlTasks = 500;
        try (TaskThread thread = startBusy()) {
            thread.execute(record("client"));
            for (int i = 0; i < controlTasks; i++) {
                thread.control().execute(record("control"));
            }
            thread.execute(record("last"));
            thread.execute(mDone::countDown);
            mRelease.countDown();
            mDone.await();
        }
        assertThat(mRun.indexOf("client"), greaterThan(0));
        assertThat(mRun.indexOf("client"), lessThan(100));
        assertThat(mRun.indexOf("last"), lessThan(200));
    }

    @Test
    void shouldWakeUpForAControlTask() throws InterruptedException {
        try (TaskThread thread = new TaskThread("test", CAPACITY_TASKS, TICK_MS)) {
            thread.start(() -> {});
            Executor control = thread.control();
            for (int i = 0; i < 200; i++) {
                CountDownLatch ran = new CountDownLatch(1);
                control.execute(ran::countDown);
                assertThat(ran.await(5, TimeUnit.SECONDS), is(true));
            }
        }
    }

    @Test
    void shouldRunTasksOfItsOwnWithoutWaitingForALane() throws InterruptedException {
        try (TaskThread thread = new TaskThread("test", 2, TICK_MS)) {
            thread.start(() -> {});
            thread.control()
                    .execute(
                            () -> {
                                for (int i = 0; i < 10; i++) {
                                    thread.control().execute(record("own"));
                                }
                                thread.execute(mDone::countDown);
                            });
            mDone.await();
        }
        assertThat(mRun.size(), is(10));
    }

    @Test
    void shouldTickAtTheIntervalThatTheTickSets() throws InterruptedException {
        CountDownLatch ticks = new CountDownLatch(20);
        try (TaskThread thread = new TaskThread("test", CAPACITY_TASKS, 1)) {
            thread.start(
                    () -> {
                        ticks.countDown();
                        thread.setTickMs(ticks.getCount() == 10 ? TICK_MS : 1);
                    });
            assertThat(ticks.await(300, TimeUnit.MILLISECONDS), is(false));
            assertThat(ticks.getCount(), is(10L));
        }
    }
}
