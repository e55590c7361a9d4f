package dev.cactusspan.forward;

import dev.cactusspan.intake.Body;
import dev.cactusspan.result.Failure;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;

/**
 * Withholds a streamed response until its origin is recorded. Chunks that are withheld count as not
 * yet written, so that the target is not read any further.
 */
final class WithheldSink implements ClientSink {
    private final ClientSink mSink;
    private final Deque<Runnable> mCalls = new ArrayDeque<>();
    private boolean mIsReleased;
    private boolean mIsClosed;

    WithheldSink(ClientSink sink) {
        mSink = sink;
    }

    /** Passes on what was withheld, and all that follows. */
    void release() {
        mIsReleased = true;
        while (!mIsClosed && !mCalls.isEmpty()) {
            mCalls.poll().run();
        }
    }

    /** Responds with a failure instead; returns false if the response has ended otherwise. */
    boolean refuse(Failure failure) {
        if (mIsClosed) {
            return false;
        }
        close();
        mSink.fail(failure, 0);
        return true;
    }

    private void close() {
        mIsClosed = true;
        mCalls.clear();
    }

    private void call(Runnable call) {
        if (mIsReleased) {
            call.run();
        } else if (!mIsClosed) {
            mCalls.add(call);
        }
    }

    @Override
    public void respond(int status, Map<String, String> headers, Body body) {
        call(() -> mSink.respond(status, headers, body));
    }

    @Override
    public void start(int status, Map<String, String> headers) {
        call(() -> mSink.start(status, headers));
    }

    @Override
    public void data(byte[] data, Runnable written) {
        call(() -> mSink.data(data, written));
    }

    @Override
    public void end() {
        call(mSink::end);
    }

    @Override
    public void abort() {
        close();
        mSink.abort();
    }

    @Override
    public void fail(Failure failure, long retryAfterMs) {
        call(() -> mSink.fail(failure, retryAfterMs));
    }
}
