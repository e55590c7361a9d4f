package dev.cactusspan.link;

import dev.cactusspan.result.Result;
import dev.cactusspan.wire.Frame;
import dev.cactusspan.wire.FrameCodec;
import dev.cactusspan.wire.FrameDecoder;
import dev.cactusspan.wire.Message;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A link of a {@link LinkReactor}. Only {@link #send} and {@link #close} may be called on any
 * thread.
 */
final class ReactorLink implements Link {
    /** Pace of a frame below which a link is closed: 64 KB a second. */
    private static final long MIN_BYTES_PER_MS = 64;

    private final LinkReactor mReactor;
    private final String mRemote;
    private final FrameDecoder mDecoder;
    private final boolean mIsAccepted;
    private boolean mHasFrame;
    private long mFrameSinceMs;
    private final Queue<ByteBuffer> mSendQueue = new ConcurrentLinkedQueue<>();
    private final AtomicInteger mSendQueueBytes = new AtomicInteger();
    private final AtomicBoolean mFlushScheduled = new AtomicBoolean();
    private volatile boolean mReleased;
    private SocketChannel mChannel;
    private SelectionKey mKey;
    private boolean mUp;
    private long mUpSinceMs;
    private long mLastReceivedMs = LinkReactor.nowMs();
    private long mLastSentMs = LinkReactor.nowMs();

    ReactorLink(LinkReactor reactor, InetSocketAddress remote, boolean isAccepted) {
        mReactor = reactor;
        mIsAccepted = isAccepted;
        mDecoder =
                new FrameDecoder(
                        isAccepted
                                ? reactor.settings().firstFrameBytes()
                                : FrameCodec.MAX_FRAME_BYTES,
                        FrameCodec.MAX_FRAME_BYTES);
        mRemote = remote.getAddress().getHostAddress() + ":" + remote.getPort();
    }

    // Called on any thread

    @Override
    public boolean send(Message message) {
        if (mReleased) {
            return false;
        }
        ByteBuffer bytes = FrameCodec.encode(mReactor.frame(message));
        int queuedBytes = mSendQueueBytes.addAndGet(bytes.remaining());
        if (queuedBytes > mReactor.settings().sendQueueBytes()) {
            mSendQueueBytes.addAndGet(-bytes.remaining());
            close("send queue is full");
            return false;
        }
        mSendQueue.add(bytes);
        if (mFlushScheduled.compareAndSet(false, true)) {
            mReactor.execute(this::scheduledFlush);
        }
        return true;
    }

    @Override
    public void close(String reason) {
        mReactor.execute(() -> mReactor.drop(this, reason));
    }

    @Override
    public String remote() {
        return mRemote;
    }

    // Called on the reactor's thread

    void attach(SocketChannel channel, SelectionKey key) throws IOException {
        mChannel = channel;
        mKey = key;
        channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
    }

    void connected(long nowMs) {
        mUpSinceMs = nowMs;
        mUp = true;
        mLastReceivedMs = nowMs;
        mLastSentMs = nowMs;
    }

    boolean finishConnect(long nowMs) throws IOException {
        if (!mChannel.finishConnect()) {
            return false;
        }
        boolean hasUnsent = !mSendQueue.isEmpty();
        mKey.interestOps(
                hasUnsent ? SelectionKey.OP_READ | SelectionKey.OP_WRITE : SelectionKey.OP_READ);
        connected(nowMs);
        return true;
    }

    int read(ByteBuffer buffer, long nowMs) throws IOException {
        int count = mChannel.read(buffer);
        if (count > 0) {
            mLastReceivedMs = nowMs;
        }
        return count;
    }

    private void scheduledFlush() {
        mFlushScheduled.set(false);
        if (mReleased || !mUp) {
            return;
        }
        try {
            flush(LinkReactor.nowMs());
        } catch (IOException e) {
            mReactor.drop(this, String.valueOf(e.getMessage()));
        }
    }

    void flush(long nowMs) throws IOException {
        for (ByteBuffer head = mSendQueue.peek(); head != null; head = mSendQueue.peek()) {
            int count = mChannel.write(head);
            mSendQueueBytes.addAndGet(-count);
            mReactor.countSent(count);
            mLastSentMs = nowMs;
            if (head.hasRemaining()) {
                mKey.interestOps(SelectionKey.OP_READ | SelectionKey.OP_WRITE);
                return;
            }
            mSendQueue.poll();
        }
        mKey.interestOps(SelectionKey.OP_READ);
    }

    boolean release() {
        if (mReleased) {
            return false;
        }
        mReleased = true;
        mUp = false;
        mSendQueue.clear();
        if (mKey != null) {
            mKey.cancel();
        }
        if (mChannel != null) {
            try {
                mChannel.close();
            } catch (IOException e) {
                // The channel is not used any more, whether or not it was closed cleanly.
                return true;
            }
        }
        return true;
    }

    /** Decodes received bytes. */
    Result<List<Frame>> decode(ByteBuffer bytes, long nowMs) {
        boolean wasBetweenFrames = mDecoder.pendingBytes() == 0;
        Result<List<Frame>> frames = mDecoder.feed(bytes);
        boolean hasNew = frames.fold(f -> false, list -> !list.isEmpty());
        mHasFrame |= hasNew;
        if (hasNew || wasBetweenFrames) {
            mFrameSinceMs = nowMs;
        }
        return frames;
    }

    int pendingBytes() {
        return mReleased ? 0 : mDecoder.pendingBytes();
    }

    /** Returns whether an incomplete frame arrives more slowly than any link of the platform. */
    boolean isFrameLate(long nowMs) {
        long ageMs = nowMs - mFrameSinceMs;
        return mDecoder.pendingBytes() > 0
                && ageMs > mReactor.settings().silenceMs()
                && mDecoder.pendingBytes() < ageMs * MIN_BYTES_PER_MS;
    }

    /** Returns whether the other end has connected and not yet said what it is. */
    boolean isUnidentified() {
        return mIsAccepted && !mHasFrame;
    }

    boolean isAccepted() {
        return mIsAccepted;
    }

    long upSinceMs() {
        return mUpSinceMs;
    }

    boolean isUp() {
        return mUp;
    }

    long silentMs(long nowMs) {
        return nowMs - mLastReceivedMs;
    }

    long idleMs(long nowMs) {
        return nowMs - mLastSentMs;
    }
}
