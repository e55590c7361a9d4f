package dev.cactusspan.http;

import dev.cactusspan.intake.Body;
import dev.cactusspan.intake.BodyCollector;
import dev.cactusspan.intake.Hold;
import dev.cactusspan.intake.Refusal;
import dev.cactusspan.result.ErrorKind;
import dev.cactusspan.result.Failure;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpAttachments;
import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.SameThreadExecutor;
import java.io.IOException;
import java.util.Optional;
import org.xnio.IoUtils;
import org.xnio.channels.StreamSourceChannel;

/**
 * Reads the body of a request into memory that was held for it before. A body of known length is
 * refused before it is read; one in chunks as soon as it is over the limit or finds no room.
 */
public final class RequestReader {
    /** Bytes read in one turn, so that one client does not occupy the I/O thread. */
    private static final int MAX_TURN_BYTES = 256 << 10;

    /**
     * Reads in one turn. Each takes one chunk at most, and has the parser copy what was read ahead,
     * up to a buffer.
     */
    private static final int MAX_TURN_READS = 128;

    private final HttpServerExchange mExchange;
    private final GuardedConnection mConnection;
    private final long mMaxBytes;
    private final Listener mListener;
    private final BodyCollector mCollector;
    private final FramingLimit mFraming;
    private Hold mHold = Hold.UNLIMITED;
    private long mHeldBytes;
    private boolean mIsDone;
    private boolean mIsCostly;
    private boolean mIsQueued;

    /** Receives the body, or why there is none. Called once, on the I/O thread. */
    public interface Listener {
        /**
         * Called when the request was read to its end.
         *
         * @param body its body
         */
        void onRead(Body body);

        /**
         * Called when the request is refused; it has not run.
         *
         * @param failure the reason
         */
        void onRefused(Failure failure);
    }

    private RequestReader(
            HttpServerExchange exchange,
            GuardedConnection connection,
            long maxBytes,
            Listener listener) {
        mExchange = exchange;
        mConnection = connection;
        mMaxBytes = maxBytes;
        mListener = listener;
        mCollector = new BodyCollector(exchange.getRequestContentLength());
        mFraming =
                new FramingLimit(connection.maxHeaderBytes(), connection.consumedBytes(exchange));
    }

    /**
     * Reads the body of a request. Call this on the I/O thread, from the handler.
     *
     * @param exchange the request
     * @param connection its connection
     * @param maxBytes maximum length of the body
     * @param listener receives it
     */
    public static void read(
            HttpServerExchange exchange,
            GuardedConnection connection,
            long maxBytes,
            Listener listener) {
        long length = exchange.getRequestContentLength();
        if (length > maxBytes) {
            refuse(exchange, listener, tooLarge(maxBytes));
            return;
        }
        RequestReader reader = new RequestReader(exchange, connection, maxBytes, listener);
        exchange.dispatch(SameThreadExecutor.INSTANCE, reader::start);
    }

    private static void refuse(HttpServerExchange exchange, Listener listener, Failure failure) {
        exchange.dispatch(SameThreadExecutor.INSTANCE, () -> listener.onRefused(failure));
    }

    private static Failure tooLarge(long maxBytes) {
        return Failure.of(ErrorKind.PAYLOAD_TOO_LARGE, "the body is over " + maxBytes + " bytes");
    }

    private static Failure noRoom() {
        return Failure.of(ErrorKind.OVERLOADED, "no memory for the body");
    }

    private static Failure tooSlow() {
        return Failure.of(ErrorKind.OVERLOADED, "the body arrives too slowly");
    }

    private static long headerBytes(HttpServerExchange exchange) {
        long bytes = exchange.getRequestURI().length();
        bytes += exchange.getQueryString().length();
        for (HeaderValues values : exchange.getRequestHeaders()) {
            bytes += values.getHeaderName().length();
            for (String value : values) {
                bytes += value.length();
            }
        }
        return bytes;
    }

    private void start() {
        mHeldBytes = mExchange.isRequestComplete() ? 0 : mCollector.heldBytes();
        Optional<Hold> hold =
                mConnection.admit(headerBytes(mExchange), mHeldBytes, this::onEvicted);
        if (hold.isEmpty()) {
            refuse(noRoom());
            return;
        }
        mHold = hold.get();
        if (mExchange.isRequestComplete()) {
            complete();
            return;
        }
        StreamSourceChannel channel = mExchange.getRequestChannel();
        channel.getReadSetter().set(this::onReadable);
        read(channel);
    }

    private void onReadable(StreamSourceChannel channel) {
        if (mIsQueued) {
            return;
        }
        if (mIsCostly && !mIsDone) {
            awaitTurn(channel);
        } else {
            read(channel);
        }
    }

    private void awaitTurn(StreamSourceChannel channel) {
        channel.suspendReads();
        mIsQueued = true;
        mConnection.awaitTurn(() -> takeTurn(channel), mIsCostly);
    }

    private void takeTurn(StreamSourceChannel channel) {
        mIsQueued = false;
        // Once it is refused, its connection is read by whoever closes it.
        if (!mIsDone && mExchange.getConnection().isOpen()) {
            read(channel);
        }
    }

    private void read(StreamSourceChannel channel) {
        int turnBytes = 0;
        int turnReads = 0;
        try {
            while (true) {
                if (mIsDone) {
                    channel.suspendReads();
                    return;
                }
                if (turnBytes >= MAX_TURN_BYTES || turnReads >= MAX_TURN_READS) {
                    mIsCostly = turnBytes < MAX_TURN_BYTES;
                    awaitTurn(channel);
                    return;
                }
                turnReads++;
                int count = channel.read(mCollector.room());
                if (count < 0) {
                    channel.suspendReads();
                    complete();
                    return;
                }
                if (count == 0) {
                    checkFraming();
                    if (mIsDone) {
                        continue;
                    }
                    channel.resumeReads();
                    return;
                }
                turnBytes += count;
                mCollector.added(count);
                mFraming.onBody(mConnection.consumedBytes(mExchange));
                checkLimits();
            }
        } catch (IOException e) {
            // The client has gone, or sent no valid chunks; nothing of the request has run.
            drop();
            IoUtils.safeClose(mExchange.getConnection());
        }
    }

    private void checkLimits() {
        if (mCollector.length() > mMaxBytes) {
            refuse(tooLarge(mMaxBytes));
            return;
        }
        long missingBytes = mCollector.heldBytes() - mHeldBytes;
        if (missingBytes > 0 && !mConnection.grow(missingBytes)) {
            refuse(noRoom());
            return;
        }
        mHeldBytes += Math.max(0, missingBytes);
    }

    private void checkFraming() {
        mFraming.onFraming(mConnection.consumedBytes(mExchange));
        if (mFraming.isExceeded()) {
            drop();
            mConnection.close(Refusal.FRAMING);
            return;
        }
        long missingBytes = mFraming.takeMissingBytes();
        if (missingBytes > 0 && !mConnection.grow(missingBytes)) {
            refuseOrClose(noRoom());
        }
    }

    private void onEvicted() {
        refuseOrClose(tooSlow());
    }

    /** Refuses the request; with many trailers at once, as they are kept until it is closed. */
    private void refuseOrClose(Failure failure) {
        if (mFraming.isSmall()) {
            refuse(failure);
            return;
        }
        drop();
        IoUtils.safeClose(mExchange.getConnection());
    }

    private void refuse(Failure failure) {
        if (mIsDone) {
            // It was answered, and its connection is being closed.
            return;
        }
        drop();
        mListener.onRefused(failure);
    }

    /** Ends reading and lets go of what was read, as the connection may stay open for a while. */
    private void drop() {
        mIsDone = true;
        mCollector.clear();
    }

    private void complete() {
        mIsDone = true;
        // Trailers are not passed on.
        Optional.ofNullable(mExchange.getAttachment(HttpAttachments.REQUEST_TRAILERS))
                .ifPresent(HeaderMap::clear);
        mConnection.onRequestRead();
        mListener.onRead(mCollector.take(mHold));
    }
}
