package dev.cactusspan.http;

/** The status line of a response (RFC 9112, section 4; RFC 9110, section 15). */
final class StatusLine implements LineSyntax {
    private static final String PART = "status line";
    private static final String VERSION_START = "HTTP/1.";
    private static final int MINOR_VERSION_AT = VERSION_START.length();
    private static final int FIRST_DIGIT_AT = MINOR_VERSION_AT + 2;
    private static final int STATUS_END_AT = FIRST_DIGIT_AT + 3;
    private static final int REASON_AT = STATUS_END_AT + 1;
    private static final int SWITCHING_PROTOCOLS = 101;
    private static final int MIN_FINAL_STATUS = 200;

    private int mLength;
    private boolean mIsOldVersion;
    private int mFirstDigit;
    private int mStatus;

    @Override
    public void accept(int b) throws MalformedResponseException {
        if (!isExpected(b)) {
            throw MalformedResponseException.unexpected(PART, b);
        }
        if (mLength == MINOR_VERSION_AT) {
            mIsOldVersion = b == '0';
        }
        if (mLength == FIRST_DIGIT_AT) {
            mFirstDigit = b;
        }
        if (mLength >= FIRST_DIGIT_AT && mLength < STATUS_END_AT) {
            mStatus = mStatus * 10 + b - '0';
        }
        mLength++;
    }

    private boolean isExpected(int b) {
        if (mLength < MINOR_VERSION_AT) {
            return b == VERSION_START.charAt(mLength);
        }
        if (mLength == MINOR_VERSION_AT) {
            return b == '0' || b == '1';
        }
        if (mLength == FIRST_DIGIT_AT - 1 || mLength == STATUS_END_AT) {
            return b == ' ';
        }
        if (mLength == FIRST_DIGIT_AT) {
            return b >= '1' && b <= '5';
        }
        return mLength < REASON_AT ? b >= '0' && b <= '9' : LineSyntax.isText(b);
    }

    @Override
    public void end() throws MalformedResponseException {
        if (mLength < REASON_AT) {
            throw new MalformedResponseException(
                    "the status line ends after " + mLength + " bytes");
        }
        if (mStatus == SWITCHING_PROTOCOLS) {
            throw new MalformedResponseException("status 101, but no request asks for an upgrade");
        }
    }

    // Accessors

    int status() {
        return mStatus;
    }

    /** Returns whether the version is HTTP/1.0. */
    boolean isOldVersion() {
        return mIsOldVersion;
    }

    /** Returns whether another response follows for the same request. */
    boolean isInterim() {
        return mStatus < MIN_FINAL_STATUS;
    }

    /** Returns whether the last byte was a digit behind the first of an interim status. */
    boolean isLateInterimDigit() {
        return mLength > FIRST_DIGIT_AT + 1 && mLength <= STATUS_END_AT && mFirstDigit == '1';
    }
}
