package dev.cactusspan.fleet;

import dev.cactusspan.id.FencingNumber;
import dev.cactusspan.id.ModelId;
import dev.cactusspan.id.VmId;
import dev.cactusspan.id.WeightVersion;
import dev.cactusspan.result.Result;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** Sends requests and orders to targets. */
public interface TargetPort {

    /**
     * Sends a request.
     *
     * @param target the target
     * @param request the request
     * @param listener receives the answer
     * @return breaks the request off when run; has no effect after the answer's end
     */
    Runnable send(TargetRecord target, TargetRequest request, TargetListener listener);

    /**
     * Returns a decoder for the events of one answer.
     *
     * @return the decoder
     */
    EventDecoder newDecoder();

    /**
     * Asks a target for its load.
     *
     * @param target the target
     * @return its load
     */
    CompletableFuture<Result<TargetLoad>> load(TargetRecord target);

    /**
     * Orders a target to load a weight version.
     *
     * @param target the target
     * @param model the model
     * @param version the version to load
     * @param holder the VM that holds the duty
     * @param fencing fencing number of the holder
     * @param expectedOrders orders that the target must have accepted so far
     * @return how the target took the order
     */
    CompletableFuture<Result<OrderOutcome>> orderVersion(
            TargetRecord target,
            ModelId model,
            WeightVersion version,
            VmId holder,
            FencingNumber fencing,
            long expectedOrders);

    /** How a target took an order. */
    enum OrderOutcome {
        /** It carries the order out. */
        ACCEPTED,
        /** What the order asks for already holds. */
        HOLDS,
        /** Another order is in progress. */
        BUSY,
        /** A holder with a higher fencing number gave an order before. */
        FENCED,
        /** The target refused the order for another reason. */
        REFUSED
    }

    /** Cuts a stream of bytes into events. */
    interface EventDecoder {
        /**
         * Takes bytes as they come.
         *
         * @param data the bytes
         * @return the events that became whole
         */
        List<TextEvent> feed(byte[] data);

        /**
         * Tells whether bytes of an unfinished event are held.
         *
         * @return true if the stream ended inside an event
         */
        boolean isInsideEvent();
    }
}
