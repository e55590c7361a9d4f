package dev.cactusspan.platform;

import dev.cactusspan.id.FencingNumber;
import dev.cactusspan.result.Result;
import java.util.concurrent.CompletableFuture;

/** Sends usage reports to the platform. */
public interface UsageInterface {

    /**
     * Sends a report.
     *
     * @param report the sealed report, which is sent unchanged
     * @param fencing fencing number of the duty's holder
     * @return true if it was accepted
     */
    CompletableFuture<Result<Boolean>> send(byte[] report, FencingNumber fencing);
}
