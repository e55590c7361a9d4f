package dev.cactusspan.forward;

import dev.cactusspan.result.ErrorKind;
import dev.cactusspan.result.Failure;
import java.util.function.Consumer;

/** Starts streams; those that may be resumed are withheld until their origin is recorded. */
final class StreamStart {
    private final StreamOrigins mOrigins;
    private final Consumer<ForwardedRequest> mOnNotRecorded;

    /**
     * Creates the start.
     *
     * @param origins records where streams begin
     * @param onNotRecorded ends a request whose stream may not be passed on
     */
    StreamStart(StreamOrigins origins, Consumer<ForwardedRequest> onNotRecorded) {
        mOrigins = origins;
        mOnNotRecorded = onNotRecorded;
    }

    void start(ForwardedRequest pending, Attempt attempt) {
        pending.startStreaming(attempt);
        if (!pending.route().isResumable() || pending.origin().isPresent()) {
            return;
        }
        WithheldSink withheld = new WithheldSink(pending.sink());
        pending.setSink(withheld);
        mOrigins.record(
                pending.request().id(),
                pending.route(),
                attempt.target().record(),
                mayPass -> endWithholding(pending, withheld, mayPass));
    }

    private void endWithholding(ForwardedRequest pending, WithheldSink withheld, boolean mayPass) {
        if (mayPass) {
            withheld.release();
            return;
        }
        Failure failure =
                Failure.of(ErrorKind.TARGET_FAILED, "the origin of the stream is not recorded");
        if (withheld.refuse(failure) && !pending.isFinished()) {
            mOnNotRecorded.accept(pending);
        }
    }
}
