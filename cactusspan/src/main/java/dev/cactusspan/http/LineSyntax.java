package dev.cactusspan.http;

/** Checks one line of a response, without its line end, as its bytes arrive. */
interface LineSyntax {
    /**
     * Checks the next byte.
     *
     * @param b the byte, from 0 to 255; neither CR nor LF
     * @throws MalformedResponseException if it may not stand there
     */
    void accept(int b) throws MalformedResponseException;

    /**
     * Checks the line as a whole.
     *
     * @throws MalformedResponseException if something is missing
     */
    void end() throws MalformedResponseException;

    /** Returns whether a byte may stand in a reason phrase or the value of a field. */
    static boolean isText(int b) {
        return b == '\t' || (b >= ' ' && b != 0x7F);
    }
}
