package dev.cactusspan.link;

import com.google.common.flogger.FluentLogger;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** Lets a planned stop wait until the requests in progress have ended. */
public final class DrainLatch {
    private static final FluentLogger sLog = FluentLogger.forEnclosingClass();

    private final CountDownLatch mLatch = new CountDownLatch(1);

    /** Notes that nothing is in progress any more. */
    public void drained() {
        mLatch.countDown();
    }

    /**
     * Waits until nothing is in progress.
     *
     * @param timeoutMs how long to wait at most
     */
    public void await(long timeoutMs) {
        try {
            if (!mLatch.await(timeoutMs, TimeUnit.MILLISECONDS)) {
                sLog.atWarning().log("drain took longer than %d ms", timeoutMs);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
