package dev.cactusspan.entry;

import dev.cactusspan.result.Failure;
import dev.cactusspan.weight.VersionSpan;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;

/** Records the response to one request and counts how often it ended. */
final class RecordingSink implements ResponseSink {
    private final ByteArrayOutputStream mBody = new ByteArrayOutputStream();
    private final boolean mIsStreaming;
    private Optional<Failure> mFailure = Optional.empty();
    private int mEnds;

    RecordingSink(boolean isStreaming) {
        mIsStreaming = isStreaming;
    }

    @Override
    public void head(int status, String contentType) {
        mBody.reset();
    }

    @Override
    public void data(byte[] data) {
        mBody.writeBytes(data);
    }

    @Override
    public void end(List<VersionSpan> labels) {
        mEnds++;
    }

    @Override
    public void fail(Failure failure) {
        mEnds++;
        mFailure = Optional.of(failure);
    }

    @Override
    public boolean isStreaming() {
        return mIsStreaming;
    }

    int ends() {
        return mEnds;
    }

    Optional<Failure> failure() {
        return mFailure;
    }

    String text() {
        return mBody.toString(StandardCharsets.UTF_8);
    }
}
