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
     * @return the outcome; after a failure it is unknown whether the report was accepted
     */
    CompletableFuture<Result<Outcome>> report(
            long window, Map<String, Long> counts, VmId holder, FencingNumber fencing);

    /** Outcome of sending a report. */
    enum Outcome {
        /** The report was accepted. */
        TAKEN,
        /** The report was refused because a holder with a higher fencing number was seen. */
        FENCED,
        /** The report was refused temporarily. */
        REFUSED
    }
}
