package dev.cactusspan.gateway;

import dev.cactusspan.batch.BatchManager;
import dev.cactusspan.forward.RequestForwarder;
import dev.cactusspan.link.DrainLatch;
import dev.cactusspan.observe.Decision;
import dev.cactusspan.peer.NodeSession;
import java.util.concurrent.Executor;
import java.util.function.LongSupplier;

/**
 * The planned stop of an entry. It leaves the load balancer's rotation while it still serves what
 * ends in time, then refuses new requests, passes its batches to other processes, waits for the
 * requests in progress, and answers those that have not ended.
 */
final class GracefulStop {
    /**
     * Time until the load balancer stops sending requests here, in milliseconds. It checks
     * readiness once a second and removes a process after two failed checks.
     */
    private static final long LEAVE_ROTATION_MS = 2_500;

    /** Time before the process is killed in which it passes on its batches, in milliseconds. */
    private static final long HANDOVER_RESERVE_MS = 2_000;

    /** Time before the process is killed in which it closes, in milliseconds. */
    private static final long EXIT_RESERVE_MS = 700;

    /** Part of {@link #EXIT_RESERVE_MS} in which the last answers are written. */
    private static final long LAST_ANSWERS_MS = 100;

    /** Time within which the progress of running items reaches the store, in milliseconds. */
    private static final long SAVE_PROGRESS_MS = 300;

    /** Time within which the end of the lease reaches the store, in milliseconds. */
    private static final long END_LEASE_MS = 300;

    private final Executor mThread;
    private final NodeSession mSession;
    private final BatchManager mBatches;
    private final RequestForwarder mForwarder;
    private final long mStopMs;
    private final LongSupplier mNowMs;
    private final DrainLatch mDrained = new DrainLatch();
    private final DrainLatch mForwarded = new DrainLatch();
    private volatile boolean mIsLeaving;
    private volatile boolean mIsStopping;

    /**
     * Creates the stop, which {@link #run} begins.
     *
     * @param thread the thread of the entry
     * @param session lease and registration of this process
     * @param batches its batches
     * @param forwarder its requests
     * @param stopMs time between the request to stop and the kill, in milliseconds
     * @param nowMs monotonic clock in milliseconds
     */
    GracefulStop(
            Executor thread,
            NodeSession session,
            BatchManager batches,
            RequestForwarder forwarder,
            long stopMs,
            LongSupplier nowMs) {
        mThread = thread;
        mSession = session;
        mBatches = batches;
        mForwarder = forwarder;
        mStopMs = stopMs;
        mNowMs = nowMs;
    }

    // Operations

    /** Stops; returns when the process may be closed. Called on a thread of its own. */
    void run() {
        Decision.of("stopping").with("node", mSession.self().owner()).info();
        long endMs = mNowMs.getAsLong() + mStopMs - EXIT_RESERVE_MS;
        mIsLeaving = true;
        mThread.execute(
                () -> {
                    mForwarder.beginStop(endMs);
                    mBatches.stopAccepting();
                    mSession.leave();
                });
        pause(LEAVE_ROTATION_MS);
        mIsStopping = true;
        mDrained.await(mStopMs - LEAVE_ROTATION_MS - HANDOVER_RESERVE_MS);
        mThread.execute(mBatches::drain);
        pause(SAVE_PROGRESS_MS);
        mThread.execute(mSession::close);
        pause(END_LEASE_MS);
        mForwarded.await(endMs - mNowMs.getAsLong());
        mThread.execute(mForwarder::endAll);
        pause(LAST_ANSWERS_MS);
    }

    /** Notes what is still in progress. Called on the thread of the entry. */
    void tick() {
        if (mIsStopping && mForwarder.size() == 0) {
            mForwarded.drained();
            if (mBatches.openBatches() == 0) {
                mDrained.drained();
            }
        }
    }

    private static void pause(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    // Accessors

    /** Returns whether this process has left the load balancer's rotation. */
    boolean isLeaving() {
        return mIsLeaving;
    }

    /** Returns whether this process refuses new requests. */
    boolean isStopping() {
        return mIsStopping;
    }
}
