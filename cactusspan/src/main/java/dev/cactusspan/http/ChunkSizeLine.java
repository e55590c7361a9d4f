package dev.cactusspan.http;

/** The line before the data of a chunk: its size and its extensions (RFC 9112, section 7.1). */
final class ChunkSizeLine implements LineSyntax {
    private static final int HEX = 16;

    /** Number of hexadecimal digits that fit into a long. */
    private static final int MAX_DIGITS = 15;

    private int mDigits;
    private long mSizeBytes;
    private boolean mHasBlank;
    private boolean mIsInExtension;

    @Override
    public void accept(int b) throws MalformedResponseException {
        if (mIsInExtension) {
            check(LineSyntax.isText(b), b);
        } else if (b == ';' && mDigits > 0) {
            mIsInExtension = true;
        } else if ((b == ' ' || b == '\t') && mDigits > 0) {
            mHasBlank = true;
        } else {
            addDigit(b);
        }
    }

    private void addDigit(int b) throws MalformedResponseException {
        int digit = Character.digit(b, HEX);
        check(digit >= 0 && mDigits < MAX_DIGITS && !mHasBlank, b);
        mSizeBytes = mSizeBytes * HEX + digit;
        mDigits++;
    }

    private static void check(boolean isAllowed, int b) throws MalformedResponseException {
        if (!isAllowed) {
            throw MalformedResponseException.unexpected("size of a chunk", b);
        }
    }

    @Override
    public void end() throws MalformedResponseException {
        if (mDigits == 0 || (mHasBlank && !mIsInExtension)) {
            throw new MalformedResponseException("the size of a chunk ends early");
        }
    }

    long sizeBytes() {
        return mSizeBytes;
    }
}
