package dev.cactusspan.link;

import com.google.common.flogger.FluentLogger;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** Lets a planned stop wait until no request is in progress. */
public final class DrainLatch {
    private static final FluentLogger sLog = FluentLogger.forEnclosingClass();

    private final CountDownLatch mLatch = new CountDownLatch(1);

    /** Signals that no request is in progress any more. */
    public void drained() {
        mLatch.countDown();
    }

    /**
     * Waits until {@link #drained} has been called.
     *
     * @param timeoutMs how long to wait at most
     */
    public void await(long timeoutMs) {
        try {
            if (!mLatch.await(timeoutMs, TimeUnit.MILLISECONDS)) {
                sLog.atWarning().log("requests are still in progress after %d ms", timeoutMs);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
