package dev.cactusspan.standin;

import com.google.common.flogger.FluentLogger;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/** Schedules tasks on one daemon thread. */
final class StandInTimer implements AutoCloseable {
    private static final FluentLogger sLog = FluentLogger.forEnclosingClass();

    private final ScheduledThreadPoolExecutor mExecutor;

    StandInTimer(String name) {
        mExecutor =
                new ScheduledThreadPoolExecutor(
                        1,
                        task -> {
                            Thread thread = new Thread(task, name);
                            thread.setDaemon(true);
                            return thread;
                        });
    }

    void schedule(long micros, Runnable task) {
        var unused = mExecutor.schedule(() -> run(task), micros, TimeUnit.MICROSECONDS);
    }

    void scheduleRepeating(long micros, Runnable task) {
        var unused =
                mExecutor.scheduleWithFixedDelay(
                        () -> run(task), micros, micros, TimeUnit.MICROSECONDS);
    }

    private static void run(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            sLog.atSevere().withCause(e).log("task of a stand-in failed");
        }
    }

    @Override
    public void close() {
        mExecutor.shutdownNow();
    }
}
