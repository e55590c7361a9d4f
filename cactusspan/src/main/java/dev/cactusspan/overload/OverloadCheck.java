package dev.cactusspan.overload;

import dev.cactusspan.intake.DoorCheck;
import dev.cactusspan.overload.OverloadGate.Work;
import dev.cactusspan.result.ErrorKind;
import dev.cactusspan.result.Failure;
import java.util.Optional;

/**
 * Refuses new work that this process cannot carry, before its body is read, as each of its bytes
 * costs processor time.
 */
public final class OverloadCheck implements DoorCheck {
    /** Size from which a body is taken for a batch before it is read; its items are hundreds. */
    private static final long BATCH_BYTES = 8 << 10;

    private final OverloadGate mGate;

    /**
     * Creates the check.
     *
     * @param gate tells what this process still takes on
     */
    public OverloadCheck(OverloadGate gate) {
        mGate = gate;
    }

    @Override
    public Optional<Failure> refuse(Arrival arrival) {
        if (!arrival.isNewWork()) {
            return Optional.empty();
        }
        Work work = arrival.bodyBytes() > BATCH_BYTES ? Work.BATCH : Work.REQUEST;
        return mGate.refuses(work)
                ? Optional.of(
                        Failure.of(
                                ErrorKind.OVERLOADED,
                                "this process is " + mGate.delayMs() + " ms behind"))
                : Optional.empty();
    }
}
