package dev.cactusspan.http;

import dev.cactusspan.observe.Decision;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.Executor;
import java.util.function.LongConsumer;
import java.util.function.LongSupplier;
import org.xnio.ChannelPipe;
import org.xnio.IoUtils;
import org.xnio.XnioIoThread;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/**
 * Measures how far an I/O thread, and the thread that acts on what it reads, are behind. A byte
 * goes through a pipe that the I/O thread watches next to its sockets, so it is read after
 * everything that had arrived before it was sent, and then queued behind all of that for the other
 * thread. All methods are called on that other thread.
 */
public final class ReadProbe implements AutoCloseable {
    /**
     * Interval of the measurements, in milliseconds; a fraction of the shortest bound and objective
     * that is checked with them.
     */
    private static final long INTERVAL_MS = 150;

    private static final int DRAIN_BYTES = 8;

    private final XnioIoThread mIoThread;
    private final ChannelPipe<StreamSourceChannel, StreamSinkChannel> mPipe;
    private final Executor mThread;
    private final LongSupplier mNowMs;
    private final LongConsumer mOnReadThrough;
    private boolean mIsOut;
    private long mSentMs = Long.MIN_VALUE / 2;

    private ReadProbe(
            XnioIoThread ioThread, Executor thread, LongSupplier nowMs, LongConsumer onReadThrough)
            throws IOException {
        mIoThread = ioThread;
        mPipe = ioThread.createHalfDuplexPipe();
        mThread = thread;
        mNowMs = nowMs;
        mOnReadThrough = onReadThrough;
        StreamSourceChannel source = mPipe.getLeftSide();
        source.getReadSetter().set(this::onReadable);
        source.resumeReads();
    }

    /**
     * Creates a probe; {@link #tick} drives it.
     *
     * @param ioThread the I/O thread
     * @param thread the thread that acts on what is read
     * @param nowMs monotonic clock in milliseconds
     * @param onReadThrough receives times; all that had arrived by then has been acted on
     * @return the probe
     * @throws IOException if no pipe can be opened
     */
    public static ReadProbe of(
            XnioIoThread ioThread, Executor thread, LongSupplier nowMs, LongConsumer onReadThrough)
            throws IOException {
        return new ReadProbe(ioThread, thread, nowMs, onReadThrough);
    }

    // Operations

    /** Starts a measurement if one is due and the last one is complete. */
    public void tick() {
        long nowMs = mNowMs.getAsLong();
        if (mIsOut || nowMs - mSentMs < INTERVAL_MS) {
            return;
        }
        try {
            if (mPipe.getRightSide().write(ByteBuffer.wrap(new byte[] {1})) == 1) {
                mIsOut = true;
                mSentMs = nowMs;
            }
        } catch (IOException e) {
            Decision.of("probe_failed").with("reason", String.valueOf(e.getMessage())).warn();
        }
    }

    private void onReadable(StreamSourceChannel source) {
        try {
            if (source.read(ByteBuffer.allocate(DRAIN_BYTES)) <= 0) {
                return;
            }
        } catch (IOException e) {
            Decision.of("probe_failed").with("reason", String.valueOf(e.getMessage())).warn();
            source.suspendReads();
            return;
        }
        // Tasks of the I/O thread run after all channels that were readable together with the pipe.
        mIoThread.execute(() -> mThread.execute(this::onPassed));
    }

    private void onPassed() {
        mIsOut = false;
        mOnReadThrough.accept(mSentMs);
    }

    // Accessors

    /**
     * Returns how long a measurement takes that is not complete.
     *
     * @return its age in milliseconds, 0 if there is none
     */
    public long pendingMs() {
        return mIsOut ? mNowMs.getAsLong() - mSentMs : 0;
    }

    @Override
    public void close() {
        IoUtils.safeClose(mPipe.getRightSide());
        IoUtils.safeClose(mPipe.getLeftSide());
    }
}
