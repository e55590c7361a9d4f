package dev.cactusspan.platform;

import dev.cactusspan.result.Result;
import java.util.concurrent.CompletableFuture;

/** Starts and stops targets through the platform. */
public interface TargetInterface {

    /**
     * Sends an order. A repeated order with the same id has no effect.
     *
     * @param order the order
     * @return true if it was accepted
     */
    CompletableFuture<Result<Boolean>> send(TargetOrder order);
}
