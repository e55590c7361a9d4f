package dev.cactusspan.http;

/** One line of the header or trailer section of a response (RFC 9112, section 5). */
final class FieldLine implements LineSyntax {
    private final Receiver mReceiver;
    private final StringBuilder mName = new StringBuilder();
    private final StringBuilder mValue = new StringBuilder();
    private boolean mIsInValue;

    /** Receives fields. */
    interface Receiver {
        /**
         * Called at the end of a field.
         *
         * @param name its name, cut behind {@link BodyFields#MAX_CHARS} characters
         * @param value its value, cut in the same way
         * @throws MalformedResponseException if the value is wrong
         */
        void add(String name, String value) throws MalformedResponseException;
    }

    FieldLine(Receiver receiver) {
        mReceiver = receiver;
    }

    @Override
    public void accept(int b) throws MalformedResponseException {
        if (mIsInValue) {
            if (!LineSyntax.isText(b)) {
                throw MalformedResponseException.unexpected("value of a field", b);
            }
            append(mValue, b);
        } else if (b == ':' && mName.length() > 0) {
            mIsInValue = true;
        } else if (HttpField.isTokenCharacter((char) b)) {
            append(mName, b);
        } else {
            throw MalformedResponseException.unexpected("name of a field", b);
        }
    }

    /** Keeps one character too many of a longer text, so that it is not taken for a short one. */
    private static void append(StringBuilder text, int b) {
        if (text.length() <= BodyFields.MAX_CHARS) {
            text.append((char) b);
        }
    }

    @Override
    public void end() throws MalformedResponseException {
        if (!mIsInValue) {
            throw new MalformedResponseException("a field has no colon");
        }
        mReceiver.add(mName.toString(), mValue.toString());
    }
}
