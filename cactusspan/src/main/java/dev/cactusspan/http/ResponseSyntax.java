package dev.cactusspan.http;

import java.nio.ByteBuffer;

/**
 * Checks the responses on one connection against the grammar of HTTP/1.1 (RFC 9112). It reads the
 * bytes before the parser of the library does, which accepts more than the grammar allows and does
 * not keep what it has skipped. Load pattern: a target in trouble answers with broken responses, at
 * once and to every request.
 */
final class ResponseSyntax {
    /** Maximum number of fields of one response; Undertow accepts as many in a request. */
    static final int MAX_FIELDS = 200;

    /** Memory of a field besides its bytes: its entry, and the objects of its name and value. */
    private static final int FIELD_MEMORY_BYTES = 300;

    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;

    private enum Part {
        STATUS_LINE,
        FIELDS,
        BODY_OF_LENGTH,
        BODY_TO_CONNECTION_END,
        CHUNK_SIZE,
        CHUNK_DATA,
        CHUNK_END,
        TRAILERS,
        END
    }

    private Part mPart = Part.END;
    private boolean mIsBodyExpected;
    private boolean mHasExcess;
    private StatusLine mStatusLine = new StatusLine();
    private BodyFields mBodyFields = new BodyFields();
    private ChunkSizeLine mChunkSize = new ChunkSizeLine();
    private long mRemainingBytes;
    private int mFields;
    private long mKeptBytes;
    private LineSyntax mLine = mStatusLine;
    private int mLineLength;
    private boolean mIsAfterReturn;

    // Operations

    /**
     * Starts to check the next response.
     *
     * @param isBodyExpected false for the response to a HEAD request
     */
    void startResponse(boolean isBodyExpected) {
        mIsBodyExpected = isBodyExpected;
        mHasExcess = false;
        mFields = 0;
        mKeptBytes = 0;
        startHead();
    }

    private void startHead() {
        mStatusLine = new StatusLine();
        mBodyFields = new BodyFields();
        startLine(Part.STATUS_LINE, mStatusLine);
    }

    private void startLine(Part part, LineSyntax line) {
        mPart = part;
        mLine = line;
        mLineLength = 0;
        mIsAfterReturn = false;
    }

    /**
     * Checks the next bytes. All interim responses get status 100, the only one that the parser
     * skips; another one would be taken for the answer.
     *
     * @param bytes buffer that holds them
     * @param start index of the first
     * @param end index behind the last
     * @throws MalformedResponseException if they do not go on with the response
     */
    void accept(ByteBuffer bytes, int start, int end) throws MalformedResponseException {
        int at = start;
        while (at < end) {
            switch (mPart) {
                case BODY_TO_CONNECTION_END -> at = end;
                case BODY_OF_LENGTH, CHUNK_DATA -> at += skipBody(end - at);
                case END -> {
                    mHasExcess = true;
                    at = end;
                }
                default -> {
                    accept(Byte.toUnsignedInt(bytes.get(at)));
                    if (mPart == Part.STATUS_LINE && mStatusLine.isLateInterimDigit()) {
                        bytes.put(at, (byte) '0');
                    }
                    at++;
                }
            }
        }
    }

    private int skipBody(int availableBytes) {
        int count = (int) Math.min(mRemainingBytes, availableBytes);
        mRemainingBytes -= count;
        if (mRemainingBytes == 0 && mPart == Part.CHUNK_DATA) {
            startLine(Part.CHUNK_END, new EmptyLine());
        } else if (mRemainingBytes == 0) {
            mPart = Part.END;
        }
        return count;
    }

    private void accept(int b) throws MalformedResponseException {
        if (mIsAfterReturn) {
            if (b != '\n') {
                throw MalformedResponseException.unexpected("line end", b);
            }
            endLine();
        } else if (b == '\r') {
            mIsAfterReturn = true;
        } else {
            mLineLength++;
            mLine.accept(b);
            mKeptBytes += mPart == Part.CHUNK_SIZE ? 0 : 1;
        }
    }

    private void endLine() throws MalformedResponseException {
        boolean isEmpty = mLineLength == 0;
        if (isEmpty && mPart == Part.FIELDS) {
            endHead();
            return;
        }
        if (isEmpty && mPart == Part.TRAILERS) {
            mPart = Part.END;
            return;
        }
        mLine.end();
        if (mPart == Part.FIELDS || mPart == Part.TRAILERS) {
            countField();
        }
        switch (mPart) {
            case CHUNK_SIZE -> startChunk();
            case CHUNK_END -> startChunkSize();
            case TRAILERS -> startTrailer();
            default -> startLine(Part.FIELDS, new FieldLine(mBodyFields::add));
        }
    }

    private void countField() throws MalformedResponseException {
        mKeptBytes += FIELD_MEMORY_BYTES;
        if (++mFields > MAX_FIELDS) {
            throw new MalformedResponseException("over " + MAX_FIELDS + " fields");
        }
    }

    private void endHead() throws MalformedResponseException {
        if (mStatusLine.isInterim()) {
            startHead();
            return;
        }
        mBodyFields.end(mStatusLine.isOldVersion());
        mRemainingBytes = mBodyFields.length().orElse(0);
        int status = mStatusLine.status();
        if (status == NO_CONTENT && (mRemainingBytes > 0 || mBodyFields.isChunked())) {
            throw new MalformedResponseException("status 204 with a body");
        }
        if (!mIsBodyExpected || status == NO_CONTENT || status == NOT_MODIFIED) {
            mPart = Part.END;
        } else if (mBodyFields.isChunked()) {
            startChunkSize();
        } else if (mBodyFields.length().isEmpty()) {
            mPart = Part.BODY_TO_CONNECTION_END;
        } else {
            mPart = mRemainingBytes > 0 ? Part.BODY_OF_LENGTH : Part.END;
        }
    }

    private void startChunkSize() {
        mChunkSize = new ChunkSizeLine();
        startLine(Part.CHUNK_SIZE, mChunkSize);
    }

    private void startChunk() {
        mRemainingBytes = mChunkSize.sizeBytes();
        if (mRemainingBytes > 0) {
            mPart = Part.CHUNK_DATA;
        } else {
            startTrailer();
        }
    }

    private void startTrailer() {
        startLine(Part.TRAILERS, new FieldLine((name, value) -> {}));
    }

    // Accessors

    /** Returns the memory that the parser takes for the head and the trailers so far. */
    long keptBytes() {
        return mKeptBytes;
    }

    /** Returns whether the response is whole and nothing came behind it. */
    boolean isAtEnd() {
        return mPart == Part.END && !mHasExcess;
    }

    /** Returns whether only the end of the connection says where the body ends. */
    boolean endsWithConnection() {
        return mPart == Part.BODY_TO_CONNECTION_END;
    }
}
