package dev.cactusspan.store;

import dev.cactusspan.result.ErrorKind;
import dev.cactusspan.result.Failure;
import java.util.EnumSet;
import java.util.Set;

/**
 * Decides what follows a conditional write of this process until it is known whether it took
 * effect. Load pattern: replies of the store are lost and the reads after them fail too, so that a
 * key names a process that does not know of it and keeps all others out. A write with an open
 * outcome is sent again under the same expectation: either one of the two takes effect, or the
 * refusal shows that the key has changed, and its value then tells by whom.
 */
public final class OpenWrite {

    /** Failures after which a write has had no effect and will have none. */
    private static final Set<ErrorKind> WITHOUT_EFFECT =
            EnumSet.of(
                    ErrorKind.PLATFORM_UNAVAILABLE,
                    ErrorKind.NOT_FOUND,
                    ErrorKind.BAD_REQUEST,
                    ErrorKind.PAYLOAD_TOO_LARGE);

    private boolean mIsOpen;
    private Step mStep = Step.SETTLED;

    /** What to do next about the key. */
    public enum Step {
        /** Nothing: no write of this process is open. */
        SETTLED,
        /** Send the write again under the same expectation. */
        WRITE,
        /** Read the key: this write or another one has changed it. */
        READ
    }

    // Operations

    /** Handles a write that took effect. */
    public void onWritten() {
        settle();
    }

    /**
     * Handles a failed write.
     *
     * @param failure the failure
     * @return what follows
     */
    public Step onWriteFailed(Failure failure) {
        if (failure.kind() == ErrorKind.CONFLICT) {
            mStep = Step.READ;
            return mStep;
        }
        mIsOpen |= !WITHOUT_EFFECT.contains(failure.kind());
        mStep = mIsOpen ? Step.WRITE : Step.SETTLED;
        return mStep;
    }

    /** Handles the value of the key, read after {@link Step#READ}. */
    public void onRead() {
        settle();
    }

    private void settle() {
        mIsOpen = false;
        mStep = Step.SETTLED;
    }

    // Accessors

    /**
     * Returns what to do next about the key. A failed read changes nothing.
     *
     * @return the step
     */
    public Step step() {
        return mStep;
    }
}
