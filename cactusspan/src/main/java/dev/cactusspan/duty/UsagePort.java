package dev.cactusspan.duty;

import dev.cactusspan.id.FencingNumber;
import dev.cactusspan.id.VmId;
import dev.cactusspan.result.Result;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/** Sends usage reports to the platform. */
public interface UsagePort {

    /**
     * Sends the report of a window.
     *
     * @param window number of the window
     * @param counts requests by client account
     * @param holder the VM that holds the duty
     * @param fencing fencing number of the holder
     * @return how it was taken; a failure leaves open whether it was
     */
    CompletableFuture<Result<Outcome>> report(
            long window, Map<String, Long> counts, VmId holder, FencingNumber fencing);

    /** How a report was taken. */
    enum Outcome {
        /** It was taken. */
        TAKEN,
        /** A holder with a higher fencing number was seen. */
        FENCED,
        /** It was refused for the time being. */
        REFUSED
    }
}
