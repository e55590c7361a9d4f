package dev.cactusspan.http;

/** The line end behind the data of a chunk. */
final class EmptyLine implements LineSyntax {
    @Override
    public void accept(int b) throws MalformedResponseException {
        throw MalformedResponseException.unexpected("end of a chunk", b);
    }

    @Override
    public void end() {}
}
