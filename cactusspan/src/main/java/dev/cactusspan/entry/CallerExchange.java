package dev.cactusspan.entry;

import dev.cactusspan.result.ErrorKind;
import dev.cactusspan.result.Failure;
import dev.cactusspan.weight.VersionSpan;
import io.undertow.io.IoCallback;
import io.undertow.io.Sender;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.xnio.IoUtils;

/**
 * Writes a response to a caller. Server-sent events are streamed as they arrive. Other responses
 * are buffered until they are complete, so that a truncated response becomes an error and is never
 * mistaken for a short success.
 */
final class CallerExchange implements ResponseSink {
    private static final String EVENT_STREAM = "text/event-stream";
    private static final int MAX_UNSENT_BYTES = 4 << 20;

    private final HttpServerExchange mExchange;
    private final int mMaxBytes;
    private final Runnable mOnAbort;
    private final ByteArrayOutputStream mBody = new ByteArrayOutputStream();
    private int mStatus;
    private String mContentType = "";
    private volatile boolean mIsStreaming;
    private boolean mIsOverLimit;

    // Accessed only on the I/O thread of the exchange.
    private final Deque<byte[]> mUnsent = new ArrayDeque<>();
    private int mUnsentBytes;
    private boolean mIsSending;
    private EndState mEndState = EndState.OPEN;

    /**
     * Creates a response writer.
     *
     * @param exchange the exchange, which has been dispatched
     * @param maxBytes maximum size of a buffered response, in bytes
     * @param onAbort called when the connection is closed because the caller reads a stream too
     *     slowly or writing to it fails
     */
    CallerExchange(HttpServerExchange exchange, int maxBytes, Runnable onAbort) {
        mExchange = exchange;
        mMaxBytes = maxBytes;
        mOnAbort = onAbort;
    }

    // On the entry's thread

    @Override
    public void head(int status, String contentType) {
        mStatus = status;
        mContentType = contentType;
        mBody.reset();
        mIsStreaming = contentType.startsWith(EVENT_STREAM);
        if (mIsStreaming) {
            onIoThread(this::startStream);
        }
    }

    @Override
    public void data(byte[] data) {
        if (mIsStreaming) {
            onIoThread(() -> writeToStream(data));
            return;
        }
        mIsOverLimit |= mBody.size() + data.length > mMaxBytes;
        if (!mIsOverLimit) {
            mBody.writeBytes(data);
        }
    }

    @Override
    public void end(List<VersionSpan> labels) {
        if (mIsStreaming) {
            onIoThread(() -> endStream(EndState.COMPLETED));
            return;
        }
        if (mIsOverLimit) {
            fail(Failure.of(ErrorKind.ANSWER_CUT, "the answer is over $.bounds.answer_bytes"));
            return;
        }
        byte[] body = mBody.toByteArray();
        int status = mStatus;
        String contentType = mContentType;
        onIoThread(() -> HttpResponses.respond(mExchange, status, contentType, body));
    }

    @Override
    public void fail(Failure failure) {
        if (!mIsStreaming) {
            onIoThread(() -> HttpResponses.respondFailure(mExchange, failure));
            return;
        }
        String event =
                "event: error\ndata: "
                        + new String(HttpResponses.failureBody(failure), StandardCharsets.UTF_8)
                        + "\n\n";
        onIoThread(
                () -> {
                    writeToStream(event.getBytes(StandardCharsets.UTF_8));
                    endStream(EndState.TRUNCATED);
                });
    }

    @Override
    public boolean isStreaming() {
        return mIsStreaming;
    }

    private void onIoThread(Runnable task) {
        mExchange.getIoThread().execute(task);
    }

    // On the I/O thread of the exchange

    private void startStream() {
        mExchange.setStatusCode(mStatus);
        mExchange.getResponseHeaders().put(Headers.CONTENT_TYPE, mContentType);
        mExchange.getResponseHeaders().put(Headers.TRANSFER_ENCODING, "chunked");
    }

    private void writeToStream(byte[] data) {
        if (mEndState == EndState.CLOSED) {
            return;
        }
        mUnsent.addLast(data);
        mUnsentBytes += data.length;
        if (mUnsentBytes > MAX_UNSENT_BYTES) {
            abortConnection();
            mOnAbort.run();
            return;
        }
        sendNext();
    }

    private void endStream(EndState endState) {
        if (mEndState == EndState.OPEN) {
            mEndState = endState;
            sendNext();
        }
    }

    private void sendNext() {
        if (mIsSending) {
            return;
        }
        byte[] next = mUnsent.pollFirst();
        if (next == null) {
            finishIfEnded();
            return;
        }
        mIsSending = true;
        mUnsentBytes -= next.length;
        mExchange
                .getResponseSender()
                .send(
                        ByteBuffer.wrap(next),
                        new IoCallback() {
                            @Override
                            public void onComplete(HttpServerExchange exchange, Sender sender) {
                                mIsSending = false;
                                sendNext();
                            }

                            @Override
                            public void onException(
                                    HttpServerExchange exchange, Sender sender, IOException e) {
                                abortConnection();
                                mOnAbort.run();
                            }
                        });
    }

    private void finishIfEnded() {
        if (mEndState == EndState.COMPLETED) {
            mEndState = EndState.CLOSED;
            mExchange.endExchange();
        }
        if (mEndState == EndState.TRUNCATED) {
            abortConnection();
        }
    }

    /** Closes the connection without the last chunk, so that the caller detects the truncation. */
    private void abortConnection() {
        mEndState = EndState.CLOSED;
        mUnsent.clear();
        IoUtils.safeClose(mExchange.getConnection());
    }

    private enum EndState {
        OPEN,
        COMPLETED,
        TRUNCATED,
        CLOSED
    }
}
