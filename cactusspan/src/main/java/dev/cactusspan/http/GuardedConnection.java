package dev.cactusspan.http;

import dev.cactusspan.intake.Body;
import dev.cactusspan.intake.Caller;
import dev.cactusspan.intake.Callers;
import dev.cactusspan.intake.Hold;
import dev.cactusspan.intake.Refusal;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import java.util.Optional;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;

/** A client's connection, and what is held for its present request. Used on the I/O thread. */
public final class GuardedConnection {
    private final StreamConnection mChannel;
    private final Callers mCallers;
    private final TurnQueue mTurns;
    private Caller mCaller;
    private Optional<Runnable> mOnEvicted = Optional.empty();
    private Optional<Runnable> mOnClosed = Optional.empty();
    private long mReadBytes;

    GuardedConnection(StreamConnection channel, Callers callers, TurnQueue turns) {
        mChannel = channel;
        mCallers = callers;
        mTurns = turns;
    }

    void setCaller(Caller caller) {
        mCaller = caller;
    }

    // Events

    boolean onRead(long bytes) {
        mReadBytes += bytes;
        return mCallers.onRead(mCaller, bytes, GuardedServer.nowMs());
    }

    void onWrite(long bytes, boolean hasMore) {
        mCallers.onWrite(mCaller, bytes, hasMore, GuardedServer.nowMs());
    }

    void start(HttpServerExchange exchange) {
        exchange.addExchangeCompleteListener(
                (e, next) -> {
                    mOnEvicted = Optional.empty();
                    mCallers.onEnd(mCaller, GuardedServer.nowMs());
                    next.proceed();
                });
    }

    void onClosed() {
        mCallers.close(mCaller, GuardedServer.nowMs());
        Optional<Runnable> task = mOnClosed;
        mOnClosed = Optional.empty();
        task.ifPresent(Runnable::run);
    }

    void evict() {
        Optional<Runnable> answer = mOnEvicted;
        mOnEvicted = Optional.empty();
        answer.ifPresentOrElse(Runnable::run, () -> IoUtils.safeClose(mChannel));
    }

    // Operations

    /**
     * Holds memory for a request and its body before the body is read.
     *
     * @param headerBytes size of the header
     * @param bodyBytes length of the body, or what is known of it
     * @param onEvicted answers the request, which has not run, if its caller is closed while the
     *     body arrives
     * @return the hold, empty if the request is to be refused
     */
    public Optional<Hold> admit(long headerBytes, long bodyBytes, Runnable onEvicted) {
        Optional<Hold> hold =
                mCallers.onHead(mCaller, headerBytes, bodyBytes, GuardedServer.nowMs());
        mOnEvicted = hold.map(h -> onEvicted);
        return hold;
    }

    /**
     * Holds more memory for the request.
     *
     * @param bytes what is added
     * @return false if there is no room
     */
    public boolean grow(long bytes) {
        return mCallers.grow(mCaller, bytes, GuardedServer.nowMs());
    }

    /**
     * Closes the connection without an answer.
     *
     * @param reason why
     */
    void close(Refusal reason) {
        mCallers.refuse(reason, GuardedServer.nowMs());
        IoUtils.safeClose(mChannel);
    }

    /**
     * Reads more of a body once other connections had their turn.
     *
     * @param turn reads a bounded part
     * @param isCostly true if the body comes in small chunks
     */
    void awaitTurn(Runnable turn, boolean isCostly) {
        mTurns.add(turn, isCostly);
    }

    /** Notes that the request was read completely. */
    public void onRequestRead() {
        mOnEvicted = Optional.empty();
        mCallers.onBody(mCaller, GuardedServer.nowMs());
    }

    /**
     * Runs a task if the connection closes, by whichever end, before the response is complete.
     *
     * @param task abandons the present request
     */
    public void whenClosed(Runnable task) {
        if (mChannel.isOpen()) {
            mOnClosed = Optional.of(task);
        } else {
            task.run();
        }
    }

    /** Notes that the response is complete, though not yet written. */
    public void onResponseComplete() {
        mOnClosed = Optional.empty();
    }

    /**
     * Holds memory for the response in place of the request.
     *
     * @param bytes bytes that wait to be written
     * @return false if there is no room, so that the connection is to be closed
     */
    public boolean holdResponse(long bytes) {
        return mCallers.onResponse(mCaller, bytes, GuardedServer.nowMs());
    }

    /**
     * Holds memory for the part of a stream that waits to be written, beside the request.
     *
     * @param bytes bytes that wait to be written
     * @return false if there is no room, so that the connection is to be closed
     */
    public boolean holdStream(long bytes) {
        return mCallers.onStream(mCaller, bytes, GuardedServer.nowMs());
    }

    /**
     * Sends a complete response and, if the request was not read to its end, closes the connection.
     *
     * @param exchange the request
     * @param body body of the response
     */
    public static void send(HttpServerExchange exchange, byte[] body) {
        send(exchange, Body.of(body));
    }

    /**
     * Sends a complete response and lets go of its body as it is written.
     *
     * @param exchange the request
     * @param body body of the response, which is drained
     */
    public static void send(HttpServerExchange exchange, Body body) {
        ResponseWriter.send(exchange, body);
    }

    // Accessors

    /** Returns the limit on the size of a header that is in force. */
    int maxHeaderBytes() {
        return mCallers.limits().maxHeaderBytes();
    }

    /** Returns the bytes that the parser has consumed, without those that it has put back. */
    long consumedBytes(HttpServerExchange exchange) {
        if (!(exchange.getConnection() instanceof HttpServerConnection connection)) {
            return mReadBytes;
        }
        return mReadBytes
                - Optional.ofNullable(connection.getExtraBytes())
                        .map(extra -> extra.getBuffer().remaining())
                        .orElse(0);
    }
}
