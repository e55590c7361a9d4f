package dev.cactusspan.http;

import java.nio.ByteBuffer;

/**
 * Checks the responses on one connection against the grammar of HTTP/1.1 (RFC 9112). It reads the
 * bytes before the parser of the library does, which accepts more than the grammar allows and does
 * not keep what it has skipped. Load pattern: a target in trouble answers with broken heads, at
 * once and to every request.
 */
final class ResponseSyntax {
    private enum Part {
        STATUS_LINE,
        FIELDS,
        REST
    }

    private Part mPart = Part.STATUS_LINE;
    private StatusLine mStatusLine = new StatusLine();
    private LineSyntax mLine = mStatusLine;
    private int mLineLength;
    private boolean mIsAfterReturn;

    // Operations

    /** Starts to check the next response. */
    void startResponse() {
        startHead();
    }

    private void startHead() {
        mPart = Part.STATUS_LINE;
        mStatusLine = new StatusLine();
        startLine(mStatusLine);
    }

    private void startLine(LineSyntax line) {
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
        for (int i = start; i < end && mPart != Part.REST; i++) {
            accept(Byte.toUnsignedInt(bytes.get(i)));
            if (mPart == Part.STATUS_LINE && mStatusLine.isLateInterimDigit()) {
                bytes.put(i, (byte) '0');
            }
        }
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
        }
    }

    private void endLine() throws MalformedResponseException {
        if (mPart == Part.FIELDS && mLineLength == 0) {
            endHead();
            return;
        }
        mLine.end();
        mPart = Part.FIELDS;
        startLine(new FieldLine());
    }

    private void endHead() {
        if (mStatusLine.isInterim()) {
            startHead();
        } else {
            mPart = Part.REST;
        }
    }
}
