package dev.cactusspan.platform;

import dev.cactusspan.result.Result;
import java.util.concurrent.CompletableFuture;

/** The platform's interface that starts and stops targets. */
public interface TargetInterface {

    /**
     * Gives an order. An order that comes again under the same id does nothing.
     *
     * @param order the order
     * @return true if it was taken
     */
    CompletableFuture<Result<Boolean>> send(TargetOrder order);
}
