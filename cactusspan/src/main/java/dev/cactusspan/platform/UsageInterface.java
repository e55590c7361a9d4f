package dev.cactusspan.platform;

import dev.cactusspan.id.FencingNumber;
import dev.cactusspan.result.Result;
import java.util.concurrent.CompletableFuture;

/** The platform's interface that takes usage reports. */
public interface UsageInterface {

    /**
     * Sends a report.
     *
     * @param report the report as sealed
     * @param fencing fencing number of the duty's holder
     * @return true if it was taken
     */
    CompletableFuture<Result<Boolean>> send(byte[] report, FencingNumber fencing);
}
