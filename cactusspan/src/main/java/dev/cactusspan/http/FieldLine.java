package dev.cactusspan.http;

/** One line of the header or trailer section of a response (RFC 9112, section 5). */
final class FieldLine implements LineSyntax {
    private boolean mHasName;
    private boolean mIsInValue;

    @Override
    public void accept(int b) throws MalformedResponseException {
        if (mIsInValue) {
            if (!LineSyntax.isText(b)) {
                throw MalformedResponseException.unexpected("value of a field", b);
            }
        } else if (b == ':' && mHasName) {
            mIsInValue = true;
        } else if (HttpField.isTokenCharacter((char) b)) {
            mHasName = true;
        } else {
            throw MalformedResponseException.unexpected("name of a field", b);
        }
    }

    @Override
    public void end() throws MalformedResponseException {
        if (!mIsInValue) {
            throw new MalformedResponseException("a field has no colon");
        }
    }
}
