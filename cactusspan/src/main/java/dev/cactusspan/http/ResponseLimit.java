package dev.cactusspan.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Optional;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Limits the bytes that a server may send besides the body: status line, headers, interim
 * responses, chunk sizes, chunk extensions and trailers. Load pattern: a server in trouble sends
 * bytes without end that never become a response, and the parser would buffer them until the
 * process is out of memory. A read beyond the limit fails, which closes the connection.
 */
final class ResponseLimit extends AbstractStreamSourceConduit<StreamSourceConduit> {
    /**
     * Maximum bytes of a response that are not its body. It includes the bytes that are read ahead.
     */
    static final int MAX_HEAD_BYTES = 128 << 10;

    /** A chunk of one byte has a size line of five bytes; twice that is allowed. */
    private static final int MAX_FRAMING_PER_BODY_BYTE = 10;

    private final StreamConnection mConnection;
    private final ResponseBudget mBudget;
    private final ResponseSyntax mSyntax = new ResponseSyntax();
    private long mReadBytes;
    private long mBodyBytes;
    private Optional<String> mFault = Optional.empty();
    private ResponseBudget.Hold mHold;

    private ResponseLimit(StreamConnection connection, ResponseBudget budget) {
        super(connection.getSourceChannel().getConduit());
        mConnection = connection;
        mBudget = budget;
        mHold = budget.closed();
    }

    /**
     * Limits the responses on a connection.
     *
     * @param connection a new connection
     * @param budget limits the heads on all connections together
     * @return the limit
     */
    static ResponseLimit install(StreamConnection connection, ResponseBudget budget) {
        ResponseLimit limit = new ResponseLimit(connection, budget);
        connection.getSourceChannel().setConduit(limit);
        return limit;
    }

    /**
     * Starts to count and check the next response.
     *
     * @param isBodyExpected false for the response to a HEAD request
     * @param onDropped gives the response up if the heads of all connections are too long
     */
    void startResponse(boolean isBodyExpected, Runnable onDropped) {
        mReadBytes = 0;
        mBodyBytes = 0;
        endResponse();
        mHold = mBudget.open(onDropped);
        mSyntax.startResponse(isBodyExpected);
    }

    /** Lets go of what the response holds. */
    void endResponse() {
        mHold.close();
    }

    /** Closes the socket of the connection. */
    void closeConnection() {
        IoUtils.safeClose(mConnection);
    }

    /** Counts bytes of the body that were received. */
    void addBody(int bytes) {
        mBodyBytes += bytes;
    }

    /**
     * Returns what was wrong with the response, empty if nothing was. The exception itself may not
     * reach the reader of the body, as the parser reads ahead.
     */
    Optional<String> fault() {
        return mFault;
    }

    /** Returns whether the response is whole and nothing came behind it. */
    boolean isAtEnd() {
        return mSyntax.isAtEnd();
    }

    /** Returns whether the body ends with the connection; after a reset it is incomplete. */
    boolean endsWithConnection() {
        return mSyntax.endsWithConnection();
    }

    @Override
    public int read(ByteBuffer dst) throws IOException {
        int start = dst.position();
        int count = super.read(dst);
        if (count > 0) {
            try {
                count(count);
                accept(dst, start, dst.position());
            } catch (MalformedResponseException e) {
                mFault = Optional.of(e.getMessage());
                throw e;
            }
        }
        return count;
    }

    private void accept(ByteBuffer bytes, int start, int end) throws MalformedResponseException {
        long before = mSyntax.keptBytes();
        mSyntax.accept(bytes, start, end);
        long addedBytes = mSyntax.keptBytes() - before;
        mHold.grow(addedBytes);
        if (addedBytes > 0 && !mHold.isOpen()) {
            throw new MalformedResponseException("no memory for the head");
        }
    }

    /** Fills the first buffer that has room; a read may return less than there is. */
    @Override
    public long read(ByteBuffer[] dsts, int offset, int length) throws IOException {
        for (int i = offset; i < offset + length; i++) {
            if (dsts[i].hasRemaining()) {
                return read(dsts[i]);
            }
        }
        return 0;
    }

    private void count(int bytes) throws MalformedResponseException {
        mReadBytes += bytes;
        long maxBytes = MAX_HEAD_BYTES + MAX_FRAMING_PER_BODY_BYTE * mBodyBytes;
        if (mReadBytes - mBodyBytes > maxBytes) {
            throw new MalformedResponseException(
                    "the response has more than " + maxBytes + " bytes besides its body");
        }
    }
}
