package dev.cactusspan.intake;

/** What the caller of one connection does. All methods but {@link #phase} run on one I/O thread. */
public final class Caller {
    /**
     * Pace of an ordinary caller, in bytes a second: well below the slowest link of the platform's
     * machines. A caller's lag is counted against it.
     */
    private static final long ORDINARY_BYTES_PER_S = 64 << 10;

    private static final long MS_PER_S = 1_000;

    private final Runnable mEvict;
    private volatile Phase mPhase = Phase.IDLE;
    private long mSinceMs;
    private long mBytes;
    private long mWindowStartMs;
    private long mWindowBytes;
    private boolean mIsAnswerBlocked;
    private boolean mWasServed;
    private Hold mHold = Hold.UNLIMITED;
    private Hold mStreamHold = Hold.UNLIMITED;

    /** What a connection waits for. */
    public enum Phase {
        /** The first byte of a request. */
        IDLE,
        /** The rest of a header. */
        HEAD,
        /** The rest of a body. */
        BODY,
        /** The response of this process. */
        RUNNING
    }

    /**
     * Creates the state of a new connection.
     *
     * @param nowMs the steady clock in milliseconds
     * @param evict closes the connection, with an answer if a request was begun
     */
    Caller(long nowMs, Runnable evict) {
        mEvict = evict;
        enter(Phase.IDLE, nowMs);
    }

    private void enter(Phase phase, long nowMs) {
        mPhase = phase;
        restart(nowMs);
        mIsAnswerBlocked = false;
    }

    private void restart(long nowMs) {
        mSinceMs = nowMs;
        mBytes = 0;
        mWindowStartMs = nowMs;
        mWindowBytes = 0;
    }

    // Events

    /** Counts bytes read from the connection. */
    void onRead(long bytes, long nowMs) {
        if (mPhase == Phase.IDLE) {
            enter(Phase.HEAD, nowMs);
        }
        if (mPhase != Phase.RUNNING) {
            count(bytes);
        }
    }

    private void count(long bytes) {
        mBytes += bytes;
        mWindowBytes += bytes;
    }

    /** Counts bytes of a response that the connection took, zero if it took none. */
    void onWrite(long bytes, long nowMs) {
        if (bytes > 0 && mIsAnswerBlocked) {
            count(bytes);
        }
        if (bytes == 0 && !mIsAnswerBlocked) {
            restart(nowMs);
            mIsAnswerBlocked = true;
        }
    }

    /** Notes that a response was written completely so far. */
    void onFlushed() {
        mIsAnswerBlocked = false;
    }

    /** Notes the end of a header. */
    void onHead(long nowMs) {
        enter(Phase.BODY, nowMs);
    }

    /** Notes the end of a body. */
    void onBody(long nowMs) {
        enter(Phase.RUNNING, nowMs);
    }

    /** Notes the end of a response, or of the connection. */
    void onEnd(long nowMs) {
        setHold(Hold.UNLIMITED);
        setStreamHold(Hold.UNLIMITED);
        mWasServed = true;
        enter(Phase.IDLE, nowMs);
    }

    /** Replaces the hold of the present request; the former one is closed. */
    void setHold(Hold hold) {
        mHold.close();
        mHold = hold;
    }

    /** Replaces the hold of a stream; the former one is closed. */
    void setStreamHold(Hold hold) {
        mStreamHold.close();
        mStreamHold = hold;
    }

    void evict() {
        mEvict.run();
    }

    // Accessors

    /** Returns whether bytes of the caller are awaited, or the caller's reading of a response. */
    boolean isAwaited() {
        return mPhase == Phase.HEAD || mPhase == Phase.BODY || mIsAnswerBlocked;
    }

    /** Returns how far the caller is behind an ordinary one, in milliseconds. */
    long lagMs(long nowMs) {
        return nowMs - mSinceMs - mBytes * MS_PER_S / ORDINARY_BYTES_PER_S;
    }

    /**
     * Returns the bytes of the present window once it has ended, and starts the next one.
     *
     * @return the bytes, negative while the window lasts
     */
    long endWindow(long windowMs, long nowMs) {
        if (nowMs - mWindowStartMs < windowMs) {
            return -1;
        }
        long bytes = mWindowBytes;
        mWindowStartMs = nowMs;
        mWindowBytes = 0;
        return bytes;
    }

    long ageMs(long nowMs) {
        return nowMs - mSinceMs;
    }

    boolean wasServed() {
        return mWasServed;
    }

    boolean isAnswerBlocked() {
        return mIsAnswerBlocked;
    }

    /**
     * Returns what the connection waits for.
     *
     * @return the phase
     */
    public Phase phase() {
        return mPhase;
    }

    /** Returns the hold of the part of a stream that waits to be written. */
    Hold streamHold() {
        return mStreamHold;
    }

    /** Returns the larger of the holds, in bytes. */
    long largestHoldBytes() {
        return Math.max(mHold.bytes(), mStreamHold.bytes());
    }

    /**
     * Returns the bytes held for the present request.
     *
     * @return the hold
     */
    public Hold hold() {
        return mHold;
    }
}
